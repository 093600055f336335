/** @file settings.h Table of the balancer's settings.
 *
 * Columns: section, name, kind, unit, default, minimum, maximum, description.
 * Minimum and maximum bound the value of numbers and the length of texts.
 */
TURMERIC_SETTING(instance, name, text, "", "", 1, 64,
                 "Name of this instance, unique in the cluster.")
TURMERIC_SETTING(instance, zone, text, "", "", 1, 64,
                 "Availability zone of this instance.")
TURMERIC_SETTING(instance, cluster, text, "", "turmeric", 1, 64,
                 "Cluster name; packets of another cluster are dropped.")
TURMERIC_SETTING(instance, key, text, "hex", "", 64, 64,
                 "Shared key of balancers and operators, 32 bytes in hex.")
TURMERIC_SETTING(network, address, text, "IP", "127.0.0.1", 7, 15,
                 "Address that all of the balancer's ports are bound to.")
TURMERIC_SETTING(network, service_port, number, "port", "7000", 1, 65535,
                 "UDP port for packets from the fabric.")
TURMERIC_SETTING(network, peer_port, number, "port", "7001", 1, 65535,
                 "UDP port for packets forwarded by other balancers.")
TURMERIC_SETTING(network, gossip_port, number, "port", "7002", 1, 65535,
                 "UDP port for control messages between balancers.")
TURMERIC_SETTING(network, admin_port, number, "port", "7003", 1, 65535,
                 "TCP port for the operators' command.")
TURMERIC_SETTING(network, seeds, text, "IP:PORT,...", "", 0, 1024,
                 "Gossip addresses of some balancers to join through.")
TURMERIC_SETTING(platform, address, text, "IP:PORT", "", 0, 64,
                 "Address of the platform's object API.")
TURMERIC_SETTING(platform, timeout, number, "ms", "1000", 10, 60000,
                 "Longest wait for a platform call other than a watch.")
TURMERIC_SETTING(platform, watch, number, "ms", "10000", 100, 60000,
                 "Longest wait of one watch call.")
TURMERIC_SETTING(membership, interval, number, "ms", "200", 10, 10000,
                 "Time between two probes of other members.")
TURMERIC_SETTING(membership, probe_timeout, number, "ms", "300", 10, 10000,
                 "Wait for a direct answer before asking through others.")
TURMERIC_SETTING(membership, suspicion, number, "ms", "1200", 10, 60000,
                 "Time a suspect has to refute before it is held dead.")
TURMERIC_SETTING(traffic, workers, number, "threads", "16", 1, 256,
                 "Threads that run requests on targets.")
TURMERIC_SETTING(traffic, permit_lifetime, number, "ms", "5000", 100, 600000,
                 "Time within which a permit must be used; a stop takes it.")
TURMERIC_SETTING(traffic, max_body, number, "bytes", "32768", 1024, 60000,
                 "Largest request body taken.")
TURMERIC_SETTING(traffic, take_over_wait, number, "ms", "2000", 0, 60000,
                 "Time for which a new home counts all slots as taken.")
TURMERIC_SETTING(log, level, text, "", "info", 1, 16,
                 "Least level written: debug, info, warning, error.")
