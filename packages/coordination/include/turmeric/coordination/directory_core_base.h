/** @file directory_core_base.h Follows the platform's registry.
 *
 * Lists and then watches each kind of entry, exchanges the entries with other
 * balancers, and publishes forwarding tables. The replica of a kind is its
 * state at one version (era and revision) of the registry; the newest version
 * wins, whether it came from the registry or from a peer. Does no I/O.
 */
#ifndef TURMERIC_COORDINATION_DIRECTORY_CORE_BASE_H_
#define TURMERIC_COORDINATION_DIRECTORY_CORE_BASE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "turmeric/coordination/directory_replica_base.h"
#include "turmeric/coordination/forwarding_table_base.h"
#include "turmeric/coordination/registry_era_base.h"
#include "turmeric/coordination/routing_history_base.h"
#include "turmeric/coordination/watcher_selection_base.h"

namespace turmeric {

struct directory_options {
  peer_options peers;
  watcher_selection_options selection;
  std::vector<endpoint> seeds;  ///< Addresses of peers to contact.
  uint64_t incarnation = 0;     ///< Start of the process, Unix microseconds.
  /** Bits of the peer features in use; fewer in tests of mixed releases. */
  uint32_t features = own_features();
  /** Time after a disturbance from which the platform's bounds hold again. */
  time_us calm_time = 4 * us_per_s;
  /** A watch waits this much shorter than `calm_time`: a connection that fell
   * silent in a disturbance has to be detected and replaced within it. */
  time_us watch_margin = 1500 * us_per_ms;
  /** A watch that has waited this long and lags behind a peer all the time is
   * started anew: its connection is dead. Above the answer time of a slow
   * registry. */
  time_us overdue_watch_time = 700 * us_per_ms;
  /** Time from the start in which peers can send their state before this
   * balancer calls the registry; several times the latency of a heartbeat. */
  time_us startup_grace = 30 * us_per_ms;
  /** Whether the whole installation starts for the first time, before there is
   * traffic. */
  bool first_start = false;
  /** In a first start, the first call to the registry is made at a random time
   * within this, so that a few balancers read the directory and the others pull
   * it from them. */
  time_us first_start_spread = us_per_s;
  /** Time from the first heartbeat received after the start to the first pull
   * of the directory from a peer. Several times the latency between zones, so
   * that more peers than the seeds have sent heartbeats and many balancers that
   * start together do not all pull from the seeds. */
  time_us pull_delay = 10 * us_per_ms;
  /** Time after which the directory is pulled from another peer: a directory
   * of 3,000 targets takes 150 ms on a link of 10 Mbit/s. */
  time_us pull_timeout = 150 * us_per_ms;
  /** Upper bound of that timeout, which doubles with each pull: answers too
   * large for this balancer's link would otherwise delay each other until none
   * arrives in time. */
  time_us max_pull_timeout = 2400 * us_per_ms;
  /** Until heartbeats of this many peers have arrived, a starting balancer
   * contacts further addresses at each heartbeat. */
  size_t startup_contacts = 16;
  /** In a large fleet, time from the start for which most balancers of a group
   * wait for those that read the registry first; several times the duration of
   * a list. */
  time_us startup_read_delay = us_per_s;
  /** Pages of a list are kept over failed calls for this long, which is below
   * the time for which the registry keeps its history. */
  time_us list_page_lifetime = 8 * us_per_s;
  /** Known peers above which a fleet is large: its balancers would fill the
   * registry's link for seconds if all read the directory at once. */
  size_t large_fleet_peers = 24;
  /** Time between rounds of heartbeats while none arrive from other zones: 50
   * messages a second, most of which are lost. */
  time_us isolated_heartbeat_interval = 100 * us_per_ms;
  /** Longest time that an answer takes beyond the wait of a watch; the call's
   * timeout is the sum of both. */
  time_us watch_timeout_margin = 700 * us_per_ms;
  /** Pause after a watch that brought changes, so that changes in quick
   * succession cost one call. It doubles with each watch that brings some
   * within `watch_batch_reset` of the one before. */
  time_us watch_batch_pause = 100 * us_per_ms;
  /** Upper bound of that pause; small against the bounds on propagation, which
   * are seconds. */
  time_us max_watch_batch_pause = 400 * us_per_ms;
  time_us watch_batch_reset = us_per_s;
  /** First timeout of a list, doubled after each failure: a list of 400 KB
   * takes half a second on the smallest instances and links. */
  time_us list_timeout = 1200 * us_per_ms;
  time_us max_list_timeout = 3 * us_per_s;
  /** The same for a watch without a wait after a failed call: many times the
   * usual answer time, even of a slow registry. */
  time_us probe_timeout = 700 * us_per_ms;
  time_us max_probe_timeout = 1500 * us_per_ms;
  /** Calls to a lost registry start at most `calm_time` less `lapse_grace` less
   * this apart: expired entries get their grace period from the first answer,
   * and it has to end before the platform's bounds hold again. Several times
   * the usual answer time. */
  time_us retry_margin = 100 * us_per_ms;
  time_us backoff_min = 100 * us_per_ms;  ///< First retry, before jitter.
  time_us backoff_max = 500 * us_per_ms;
  /** Grace period in which a target whose entry disappeared without a drain
   * still gets new flows. Entries that expired because the registry failed are
   * back by then; the bound on draining targets is longer. */
  time_us lapse_grace = 2 * us_per_s;
  /** Time for which a zone stays withdrawn whose withdrawal a restored registry
   * lacks: operators write it again if it still holds. */
  time_us restore_hold = 10 * us_per_s;
  /** Time between two reads of the registry by which this balancer checks an
   * era that only peers know. */
  time_us era_check_interval = 2 * us_per_s;
  /** Time for which a balancer that does not watch lets the era of those that
   * feed it be lower than its own before it asks the registry. */
  time_us era_doubt_time = 3 * us_per_s;
  /** Time for which removed targets, and so their tokens, are kept: the longest
   * flow. */
  time_us removed_retention = 60 * us_per_s;
  /** Changes above this size are not pushed to the balancers of a group, which
   * read them from the registry: the sender's link may be small. */
  size_t max_push_bytes = 16 * 1024;
  /** Time left to the registry to bring a change to two peers before the one
   * with the newer directory pushes it or the other pulls it. Also the time
   * between two pushes or pulls of a kind. */
  time_us anti_entropy_delay = 300 * us_per_ms;
  /** Time between two messages about targets: a tenth of the time for which a
   * target is avoided at first. Limits them to 40 a second. */
  time_us report_interval = 25 * us_per_ms;
  /** Most receivers of a message about targets, those of the own zone first:
   * 64 messages of about 150 bytes. */
  size_t report_fanout = 64;
  /** Most observations in a message, so that it fits a datagram. */
  size_t max_reports = 32;
};

struct send_peer_message {
  endpoint to;
  peer_message body;
};

/** Replaces the traffic thread's snapshot. */
struct publish_table {
  std::shared_ptr<const forwarding_table> table;
  std::vector<uint64_t> balancers;       ///< Other live ones, by hashed name.
  std::vector<uint64_t> zone_balancers;  ///< Those of the own zone.
  std::set<std::string> silent_zones;    ///< No heartbeat arrives from them.
  bool registry_lost = false;            ///< The last read of targets failed.
  /** Entries and parts of entries that cannot be read, by kind. */
  std::array<size_t, directory_kinds> unread{};
  uint64_t era = 0;  ///< Of the registry; 0 if unknown.
  /** Other live balancers by the number of their release. */
  std::map<uint32_t, size_t> releases;
};

/** A log line about a change of the replicas or of the registry's state. */
struct directory_log_line {
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

/** Hands observations of targets by peers to the traffic thread. */
struct reported_targets {
  std::vector<target_report> reports;
};

/** What the adapters must do for the directory core. */
using directory_action = std::variant<registry_call,
                                      send_peer_message,
                                      publish_table,
                                      directory_log_line,
                                      reported_targets>;

class directory_core {
 public:
  using actions = std::vector<directory_action>;

  directory_core(directory_options options, random_source random);

  /** Starts calls to the registry and heartbeats. */
  actions start(time_us now);

  /** Takes the reply to a registry call; ignored if no call has its id. */
  actions on_reply(time_us now, const registry_reply& reply);

  /** Takes a message of a peer, whose signature has been checked. */
  actions on_peer_message(time_us now, const peer_message& message);

  /** Sends observations of targets by the own traffic thread to peers. */
  actions on_local_reports(time_us now,
                           const std::vector<target_report>& reports);

  actions tick(time_us now);

  /** Reads the registry again after a pause of this process, in which its
   * replicas may have become stale. */
  actions on_pause(time_us now);

  /** Notifies the peers that this balancer is about to stop. */
  actions leave(time_us now);

  /** Adds the contacts of the settings. */
  void set_seeds(time_us now, const std::vector<endpoint>& seeds);

  /** @return When tick() is due, on the clock that `now` is read from. */
  time_us next_tick() const;

  /** @return Whether all kinds are loaded and a routing entry could be read;
   * no table is published before. */
  bool complete() const;

  const directory_replica& replica(directory_kind kind) const;
  const peer_table& peers() const { return peers_; }

 private:
  /** Synchronization of one kind with the registry and the peers. */
  struct kind_sync {
    explicit kind_sync(time_us removed_retention)
        : replica(removed_retention) {}

    directory_replica replica;
    uint64_t call_id = 0;  ///< In flight; 0 if none.
    registry_op op = registry_op::list;
    bool must_list = true;
    bool catch_up = false;  ///< The next watch is sent without a wait.
    time_us next_call = 0;
    time_us call_started = 0;
    time_us last_change = 0;  ///< Last watch that brought changes.
    time_us batch_pause = 0;  ///< Pause after it.
    /** Since when some peer has had a newer state than that of `behind_at`. */
    time_us behind_since = 0;
    uint64_t behind_at = 0;  ///< Own revision at that time.
    /** Pulls from peers since the last state that one sent. */
    uint32_t pulls = 0;
    time_us last_pull = 0;  ///< Of all entries, from any peer; 0 if none.
    uint32_t failures = 0;
    bool last_call_failed = false;
    bool last_call_lost = false;  ///< It failed without an answer.
    watch_role role = watch_role::passive;
    bool load_logged = false;  ///< The first state has been logged.
    registry_version list_version;
    time_us list_started = 0;
    std::vector<directory_change> listed;  ///< Pages so far.
  };

  kind_sync& sync_of(directory_kind kind) {
    return syncs_[static_cast<size_t>(kind)];
  }
  /** @return Null if no kind has this call in flight. */
  kind_sync* find_call(uint64_t call, directory_kind* kind);
  void start_call(time_us now, directory_kind kind, actions* out);
  void on_list_page(time_us now,
                    directory_kind kind,
                    const registry_reply& reply,
                    actions* out);
  void on_watch_reply(time_us now,
                      directory_kind kind,
                      const registry_reply& reply,
                      actions* out);
  void on_call_failed(time_us now,
                      directory_kind kind,
                      const registry_reply& reply,
                      actions* out);
  /** Logs changes of a replica and publishes a table if they affect it. */
  void on_replica_changes(time_us now,
                          directory_kind kind,
                          const std::string& source,
                          const std::vector<replica_change>& changes,
                          actions* out);
  /** Keeps a zone whose withdrawal was lifted out of use until the replica of
   * the targets has reached the revision of the lift.
   * @return Whether such a zone is in use again. */
  bool update_lifted_zones(time_us now,
                           directory_kind kind,
                           const std::vector<replica_change>& changes,
                           actions* out);
  /** Handles an answer's era.
   * @return Whether the answer can be used. */
  bool accept_era(time_us now,
                  directory_kind kind,
                  const registry_reply& reply,
                  actions* out);
  /** Makes all kinds be listed anew.
   * @param answered Kind whose call was answered just now.
   * @param answer_usable Whether that answer starts the list of its kind. */
  void list_all_again(time_us now,
                      directory_kind answered,
                      bool answer_usable,
                      bool distrusted,
                      actions* out);
  /** Reads the registry if only peers know its era. */
  void check_era(time_us now, const std::string& cause, actions* out);
  /** @return @p hello without its replicas' state and roles if it is of an
   * older balancer that names no era, while revisions alone say nothing. */
  peer_hello comparable_hello(peer_hello hello) const;
  /** Doubts the own era if the balancers that feed this one name a lower one.
   */
  void compare_era(time_us now, const peer_hello& hello, actions* out);
  bool registry_works() const;
  registry_version version_of(const registry_reply& reply,
                              const kind_sync& sync) const;
  /** Finds the next end of the hold of a withdrawal lost in a restore. */
  void update_hold_end(time_us now);
  /** Retries the kinds whose last call got no answer, since that of another
   * kind did. Calls in flight that were sent before the answered one are lost.
   */
  void retry_lost_calls(time_us now,
                        time_us answered_call_started,
                        actions* out);
  void catch_up_all(time_us now, const std::string& cause, actions* out);
  void start_catch_up(time_us now, directory_kind kind, actions* out);
  /** @return The pause after a watch that brought changes. */
  time_us next_batch_pause(time_us now, kind_sync* sync) const;
  /** Pulls a kind of a newer era from a random peer that has it. */
  void pull_era(time_us now, directory_kind kind, uint64_t era, actions* out);
  /** @return Whether a peer has been ahead of the replica's present state. */
  static bool is_behind(const kind_sync& sync);
  /** Records that a peer is ahead, and starts a watch anew that should have
   * returned what it has. */
  void update_behind(time_us now, directory_kind kind, actions* out);
  void publish(time_us now, actions* out);
  std::vector<uint64_t> alive_zone_ids(time_us now) const;
  table_input make_table_input(time_us now) const;
  std::array<size_t, directory_kinds> count_unread() const;
  void add_withdrawn(time_us now, table_input* input) const;
  void on_peer_hello(time_us now, const peer_hello& hello, actions* out);
  void on_peer_directory(time_us now,
                         const peer_directory_delta& received,
                         actions* out);
  void on_peer_reports(time_us now, const peer_reports& message, actions* out);
  void record_report(time_us now, const target_report& report);
  void send_reports(time_us now, actions* out);
  void send_recent_reports(time_us now, const known_peer& peer, actions* out);
  void push_if_behind(time_us now, known_peer* peer, actions* out);
  void push_directory(time_us now,
                      directory_kind kind,
                      known_peer* peer,
                      actions* out);
  void announce_to_group(time_us now, actions* out);
  void contact_more_peers(time_us now, actions* out);
  void pull_from_peers(time_us now, actions* out);
  bool pull_pending(time_us now, const kind_sync& sync) const;
  /** @return A random live peer that has the kind loaded, of the own zone if
   * there is one; null if there is none. */
  const known_peer* choose_pull_peer(time_us now, directory_kind kind);
  /** @return Whether the first state is expected from peers, so that the
   * registry need not be called. */
  bool waits_for_peers(time_us now, directory_kind kind) const;
  bool all_zones_silent() const;
  void pull_if_ahead(time_us now, known_peer* peer, actions* out);
  bool is_small(const peer_directory_delta& directory) const;
  void push_to_group(time_us now, directory_kind kind, actions* out);
  /** @return The entries that @p receiver lacks, or all of them if the
   * removals since its revision are no longer kept. */
  peer_directory_delta directory_for(time_us now,
                                     directory_kind kind,
                                     const peer_hello& receiver);
  /** Replaces the configuration of @p directory by what turns that of
   * @p receiver into it, if the receiver supports that. */
  void use_routing_patch(const peer_hello& receiver,
                         peer_directory_delta* directory);
  /** Applies the routing patches of @p directory to the own configuration.
   * @return Whether it is of the state that they were made for. */
  bool apply_routing_patches(peer_directory_delta* directory) const;
  /** Adds the newest configuration to the history. */
  void remember_routing();
  /** Ends the catch-up with the registry of kinds in which @p feeder, which
   * watches them for this balancer, is not ahead. */
  void end_catch_ups(time_us now, const peer_hello& feeder, actions* out);
  /** @return Whether this balancer watches the kind and its last call did not
   * fail. */
  bool is_watching(directory_kind kind) const;
  /** @return The longest wait of one watch. */
  time_us watch_wait() const;
  /** @return The longest time between the starts of two calls to a lost
   * registry. */
  time_us max_retry_interval() const;
  /** @return Whether a call is to be started now; else sets the time of the
   * next check if this one was due. */
  bool call_due(time_us now, directory_kind kind);
  peer_hello make_hello(time_us now);
  void send_round(time_us now, actions* out);

  directory_options options_;
  random_source random_;
  peer_table peers_;
  watcher_selection selection_;
  std::vector<kind_sync> syncs_;
  routing_history routing_history_;
  registry_era era_;
  time_us last_era_check_ = 0;
  /** Since when a peer that feeds this one has named a lower era; 0 if none. */
  time_us era_doubted_since_ = 0;
  bool era_missing_logged_ = false;
  /** Zones whose withdrawal was lifted at a version that the replica of the
   * targets has not reached: their targets may have become cold since. */
  std::map<std::string, registry_version> pending_lifts_;
  /** Version of the last lift by zone; never erased. */
  std::map<std::string, registry_version> last_lift_;
  /** When the hold of a withdrawal that was lost in a restore ends; INT64_MAX
   * without one. */
  time_us next_hold_end_ = INT64_MAX;
  uint64_t next_call_id_ = 1;
  uint64_t sequence_ = 0;
  time_us started_ = 0;
  time_us next_round_ = 0;
  time_us next_forget_ = 0;
  time_us next_pull_ = INT64_MAX;  ///< While some kind is not loaded.
  std::vector<target_report> pending_reports_;  ///< Not yet sent.
  time_us reports_sent_ = 0;
  /** Reports of peers until the first table is published. */
  std::vector<target_report> early_reports_;
  /** Last local observation of each target, and when it expires. */
  std::map<flow_token, std::pair<target_report, time_us>> recent_reports_;
  bool leaving_ = false;
  bool published_ = false;  ///< Whether a table has been published.
  std::vector<uint64_t> published_balancers_;
  std::set<std::string> published_silent_zones_;
  std::map<uint32_t, size_t> published_releases_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_DIRECTORY_CORE_BASE_H_
