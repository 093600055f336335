; Settings of one balancer. The platform replaces the placeholders.
[instance]
mode = forwarding
name = {{node_name}}
zone = {{zone}}
cluster = turmericstream
; Key shared by all balancers of one installation, 32 bytes in hex. Replace it
; in your own copy.
key = 7c1f0be4a92d5836e0c74b1d9f3a6285417be3d08c96f25a1de874b30f59c62a

[forwarding]
packets = {{listen.packet_addr}}
ready = {{listen.ready}}
peers = {{ip}}:{{internal_port_range.0}}
metrics = {{ip}}:{{internal_port_range.1}}
seeds = {{seeds}}
registry = {{platform.address}}
grace = {{bounds.grace_s}}
max_flow = {{bounds.max_flow_s}}
first_start = {{bootstrap}}
calm_time = {{bounds.stable_window_ms}}
cold_overage = {{bounds.cold_overage}}
cold_slack = {{bounds.cold_slack}}

[overload]
full_targets = true
target_weights = true
admission = true
caller_shares = true
