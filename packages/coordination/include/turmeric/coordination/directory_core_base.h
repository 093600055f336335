/** @file directory_core_base.h Follows the platform's registry.
 *
 * Lists and then watches each kind of entry, shares what is known with other
 * balancers, and publishes forwarding tables. Each kind is believed as it was
 * at one revision; the newest revision wins, whether it came from the registry
 * or from a peer. Does no I/O.
 */
#ifndef TURMERIC_COORDINATION_DIRECTORY_CORE_BASE_H_
#define TURMERIC_COORDINATION_DIRECTORY_CORE_BASE_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "turmeric/coordination/directory_belief_base.h"
#include "turmeric/coordination/forwarding_table_base.h"
#include "turmeric/coordination/watch_duty_base.h"

namespace turmeric {

/** Times and bounds of the directory. */
struct directory_options {
  peer_options peers;
  watch_duty_options selection;
  std::vector<endpoint> seeds;
  uint64_t incarnation = 0;
  /** Longest wait of one watch: a connection that went silent is noticed
   * within it, below the bounds on changes, which are seconds. */
  time_us watch_wait = 2500 * us_per_ms;
  /** The same where other balancers rely on it, which then have to notice too
   * and step in. */
  time_us duty_watch_wait = 1200 * us_per_ms;
  /** A balancer that starts gives its peers this long to tell what they know
   * before it asks the registry; several times a heartbeat's way. */
  time_us startup_grace = 30 * us_per_ms;
  /** Time that a balancer which starts listens to its peers before it asks one
   * of them for what it does not know: a few ways between zones, so that a
   * herd does not ask the seeds alone. */
  time_us pull_delay = 10 * us_per_ms;
  /** Time after which it asks another one: a directory of 3,000 targets takes
   * 150 ms on a link of 10 Mbit/s. */
  time_us pull_timeout = 150 * us_per_ms;
  /** The longest such time; it doubles with each ask, since answers that are
   * too large for the own link would else keep each other from arriving. */
  time_us max_ask_patience = 2400 * us_per_ms;
  /** Peers that it tries to hear of at once before that. */
  size_t first_contacts = 16;
  /** In a large fleet, time for which most of a group's balancers wait for the
   * few that read the registry first; several times a list's length. */
  time_us first_patience = us_per_s;
  /** Pages of a list are kept over failed calls for this long, below the time
   * for which the registry keeps its history. */
  time_us list_life = 8 * us_per_s;
  /** Known peers above which a fleet is large: its directory, read by all that
   * start at once, would take seconds of the registry's link. */
  size_t large_fleet = 24;
  /** Between two rounds of heartbeats while no other zone is heard: 50 messages
   * a second, which mostly go nowhere. */
  time_us isolated_heartbeat_interval = 100 * us_per_ms;
  /** Answers take this much longer than a watch's wait at most. */
  time_us watch_margin = 700 * us_per_ms;
  /** Pause after a watch that brought changes, so that changes which come
   * together cost one call; small against the bounds on changes. */
  time_us watch_batch_pause = 100 * us_per_ms;
  /** First time limit of a list, then doubled: 400 KB take half a second on the
   * smallest instances and links. */
  time_us list_timeout = 1200 * us_per_ms;
  time_us max_list_timeout = 3 * us_per_s;
  /** The same for a watch without a wait on a registry that does not answer:
   * many times a usual answer, also of a slow registry. */
  time_us probe_timeout = 700 * us_per_ms;
  time_us max_probe_timeout = 1500 * us_per_ms;
  time_us backoff_min = 100 * us_per_ms;  ///< First retry.
  time_us backoff_max = 500 * us_per_ms;  ///< Longest back-off.
  /** Time for which a target whose entry vanished without notice still gets
   * new flows: entries that lapsed with the registry are back by then, and
   * the bound on draining targets is above it. */
  time_us lapse_grace = 2 * us_per_s;
  /** Time for which tokens of removed targets are known: the longest flow. */
  time_us removed_retention = 60 * us_per_s;
  /** Changes above this many bytes are not sent to all balancers of a zone;
   * they read them from the registry, since the sender's link may be small. */
  size_t max_push_bytes = 16 * 1024;
  /** A peer's older state is left to the registry for this long. */
  time_us anti_entropy_delay = 300 * us_per_ms;
  /** Pause between messages about targets: a tenth of the time for which one
   * of them is avoided at first, and bounds them to 40 a second. */
  time_us report_interval = 25 * us_per_ms;
  /** Peers that are told at most, those of the own zone first: 64 messages of
   * about 150 bytes. */
  size_t report_fanout = 64;
  /** Observations in a message at most; it fits a datagram. */
  size_t max_reports = 32;
};

/** Sends a message to a peer. */
struct send_peer_message {
  endpoint to;
  peer_message body;
};

/** Replaces the traffic thread's snapshot. */
struct publish_table {
  std::shared_ptr<const forwarding_table> table;
  std::vector<uint64_t> balancers;       ///< Other live ones, by hashed name.
  std::vector<uint64_t> zone_balancers;  ///< Those of the own zone.
  std::set<std::string> silent_zones;    ///< Whose balancers are not heard.
  bool registry_lost = false;            ///< Targets can't be asked for.
};

/** A line for the log about a change of belief. */
struct directory_log_line {
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

/** Hands what peers saw of targets to the traffic thread. */
struct reported_targets {
  std::vector<target_report> reports;
};

/** What the adapters must do for the directory core. */
using directory_action = std::variant<registry_call,
                                      send_peer_message,
                                      publish_table,
                                      directory_log_line,
                                      reported_targets>;

/** Follows the registry; see the file's comment. */
class directory_core {
 public:
  using actions = std::vector<directory_action>;

  directory_core(directory_options options, random_source random);

  /** Starts lists and heartbeats. */
  actions start(time_us now);

  /** A call has ended. */
  actions on_reply(time_us now, const registry_reply& reply);

  /** A message came from a peer; its signature has been checked. */
  actions on_peer_message(time_us now, const peer_message& message);

  /** The traffic thread saw something of targets; tells the peers. */
  actions on_local_reports(time_us now,
                           const std::vector<target_report>& reports);

  /** Runs the timers. */
  actions tick(time_us now);

  /** This process stood still for a while; what it knows may be old. */
  actions on_pause(time_us now);

  /** Tells the peers that this balancer is about to stop. */
  actions leave(time_us now);

  /** Replaces the contacts of the settings. */
  void set_seeds(time_us now, const std::vector<endpoint>& seeds);

  /** @return When tick() is due. */
  time_us next_tick() const;

  /** @return Whether all kinds are known. */
  bool complete() const;

  const directory_replica& replica(directory_kind kind) const;
  const peer_table& peers() const { return peers_; }

 private:
  /** Calls about one kind. */
  struct follower {
    explicit follower(time_us keep_removed) : belief(keep_removed) {}

    directory_replica belief;
    uint64_t call = 0;  ///< In flight; 0 if none.
    registry_op op = registry_op::list;
    bool must_list = true;
    bool brief = false;  ///< What has changed must be read now.
    time_us next_call = 0;
    uint32_t asks = 0;  ///< Of peers, while nothing was known.
    time_us asked = 0;  ///< When a peer was last asked for all of it; 0: never.
    uint32_t failures = 0;
    bool lost = false;  ///< The registry did not answer the last call.
    watch_role duty = watch_role::small_group;
    bool noted = false;  ///< The first state has been written to the log.
    uint64_t list_revision = 0;
    time_us list_begun = 0;
    std::vector<directory_change> listed;  ///< Pages so far.
  };

  follower& of(directory_kind kind) {
    return followers_[static_cast<size_t>(kind)];
  }
  follower* waiting_for(uint64_t call, directory_kind* kind);
  void start_call(time_us now, directory_kind kind, actions* out);
  void page_arrived(time_us now,
                    directory_kind kind,
                    const registry_reply& reply,
                    actions* out);
  void changes_arrived(time_us now,
                       directory_kind kind,
                       const registry_reply& reply,
                       actions* out);
  void call_failed(time_us now,
                   directory_kind kind,
                   const registry_reply& reply,
                   actions* out);
  void believe(time_us now,
               directory_kind kind,
               const std::string& source,
               const std::vector<belief_change>& changes,
               actions* out);
  /** @return Whether a zone that was taken back was opened. */
  bool gate_lifted_zones(time_us now,
                         directory_kind kind,
                         const std::vector<belief_change>& changes,
                         actions* out);
  void refresh(time_us now, const std::string& cause, actions* out);
  void read_again(time_us now, directory_kind kind, actions* out);
  void publish(time_us now, actions* out);
  std::vector<uint64_t> zone_ids(time_us now) const;
  table_input make_input() const;
  void add_withdrawn(table_input* input) const;
  void on(time_us now, const peer_hello& hello, actions* out);
  void on(time_us now, const peer_directory& directory, actions* out);
  void on(time_us now, const peer_reports& message, actions* out);
  void remember_told(time_us now, const target_report& report);
  void send_reports(time_us now, actions* out);
  void tell_what_holds(time_us now, const known_peer& peer, actions* out);
  void push_to(time_us now, known_peer* peer, actions* out);
  void push_kind(time_us now,
                 directory_kind kind,
                 known_peer* peer,
                 actions* out);
  void announce(time_us now, actions* out);
  void meet_more(time_us now, actions* out);
  void ask_peers(time_us now, actions* out);
  bool waits_for_answer(time_us now, const follower& f) const;
  const known_peer* peer_to_ask(time_us now, directory_kind kind);
  bool left_to_peers(time_us now, directory_kind kind) const;
  bool all_zones_silent() const;
  void ask_if_ahead(time_us now, known_peer* peer, actions* out);
  bool is_small(const peer_directory& directory) const;
  void push_change(time_us now, directory_kind kind, actions* out);
  peer_directory directory_for(time_us now,
                               directory_kind kind,
                               const peer_hello& receiver) const;
  bool in_contact(directory_kind kind) const;
  bool must_call(time_us now, directory_kind kind);
  peer_hello make_hello(time_us now);
  void send_round(time_us now, actions* out);

  directory_options options_;
  random_source random_;
  peer_table peers_;
  watcher_selection duty_;
  std::vector<follower> followers_;
  /** Zones taken back at a revision that the targets are not yet known at:
   * their targets may have turned cold meanwhile. */
  std::map<std::string, uint64_t> lifted_;
  std::map<std::string, uint64_t> last_lift_;  ///< By zone, for all times.
  uint64_t next_call_id_ = 1;
  uint64_t sequence_ = 0;
  time_us started_ = 0;
  time_us next_round_ = 0;
  time_us next_forget_ = 0;
  time_us next_ask_ = INT64_MAX;  ///< While something is not known at all.
  std::vector<target_report> pending_reports_;  ///< Not yet sent.
  time_us reports_sent_ = 0;
  std::vector<target_report> early_reports_;  ///< Before the first table.
  /** Last observation of each target, and until when it matters. */
  std::map<flow_token, std::pair<target_report, time_us>> told_;
  bool leaving_ = false;
  bool published_ = false;  ///< Whether there has been a table.
  std::vector<uint64_t> published_balancers_;
  std::set<std::string> published_silent_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_DIRECTORY_CORE_BASE_H_
