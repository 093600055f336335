/** @file peer_message_type.h Messages with which balancers replicate the
 * directory (the contents of the registry) to each other. */
#ifndef TURMERIC_STATE_PEER_MESSAGE_TYPE_H_
#define TURMERIC_STATE_PEER_MESSAGE_TYPE_H_

#include <array>
#include <string>
#include <variant>
#include <vector>

#include "turmeric/state/directory_type.h"
#include "turmeric/state/routing_patch_type.h"
#include "turmeric/state/target_report_type.h"

namespace turmeric {

/** Version of a replica of one kind of directory entry, compared by peers in
 * anti-entropy. */
struct directory_summary {
  uint64_t revision = 0;  ///< Newest complete one; 0 if nothing is loaded.
  uint64_t digest = 0;    ///< Over the names and revisions of all entries.
  uint64_t era = 0;       ///< Of `revision`; 0 if unknown.

  registry_version version() const { return {era, revision}; }
};

/** @return Whether two replicas hold the same entries of the same era. */
inline bool same_state(const directory_summary& a, const directory_summary& b) {
  return a.digest == b.digest && !in_different_eras(a.version(), b.version());
}

/** Capabilities of a balancer that its peers have to know before they use them,
 * as bit numbers. Numbers are never given another meaning. */
enum class peer_feature : uint8_t {
  routing_patches,  ///< Reads `routing_patches` of peer_directory_delta.
  end
};

/** @return The bits of all features of this version. */
constexpr uint32_t own_features() {
  return (1U << static_cast<uint32_t>(peer_feature::end)) - 1;
}

/** Heartbeat of a balancer, with its pull requests to the receiver. */
struct peer_hello {
  std::string name;
  std::string zone;
  endpoint address;  ///< Receives peer messages.
  /** Start time of its process, Unix time in microseconds. */
  uint64_t incarnation = 0;
  uint64_t sequence = 0;  ///< Number of the heartbeat, from 1.
  bool leaving = false;
  std::array<directory_summary, directory_kinds> summaries{};
  std::vector<endpoint> peers;  ///< Addresses of some of its peers.
  /** One bit per kind that it watches in the registry over a working
   * connection. */
  uint32_t watched_kinds = 0;
  /** One bit per kind that the receiver is to push, as its replica is newer. */
  uint32_t requested_kinds = 0;
  /** One bit per kind that the receiver is to push only if the push is small; a
   * large one is read from the registry by the sender. */
  uint32_t requested_if_small = 0;
  /** One bit per kind whose changes it gets from watching balancers and passes
   * on to its group. */
  uint32_t relayed_kinds = 0;
  /** One bit per peer_feature that the sender supports, 0 from an earlier
   * version. */
  uint32_t features = 0;
  uint32_t release = 1;  ///< Of the sender; the first one does not send it.
};

inline bool supports(const peer_hello& hello, peer_feature feature) {
  return (hello.features >> static_cast<uint32_t>(feature) & 1) != 0;
}

inline bool watches(const peer_hello& hello, directory_kind kind) {
  return (hello.watched_kinds >> static_cast<uint32_t>(kind) & 1) != 0;
}

inline bool relays(const peer_hello& hello, directory_kind kind) {
  return (hello.relayed_kinds >> static_cast<uint32_t>(kind) & 1) != 0;
}

/** Push of entries of one kind to a peer with an older revision: the changes
 * since then, or all entries. */
struct peer_directory_delta {
  uint64_t to_incarnation = 0;  ///< Incarnation of the receiver.
  directory_kind kind = directory_kind::targets;
  /** Holds the entries changed after this one; 0 if it holds all. */
  uint64_t from_revision = 0;
  uint64_t revision = 0;
  std::vector<std::string> names;
  std::vector<uint64_t> revisions;  ///< Of each of `names`.
  /** Entries removed after `from_revision`. */
  std::vector<std::string> removed_names;
  /** Revisions of the removals, one for each of `removed_names`. */
  std::vector<uint64_t> removed_revisions;
  /** Values of those of `names` that could be decoded; only the list for `kind`
   * is used. */
  std::vector<target_entry> targets;
  std::vector<routing_entry> routings;
  uint64_t era = 0;  ///< Of all revisions of this message; 0 if unknown.
  /** Instead of `routings`, for receivers that support it: what turns their
   * configuration into the one of this message. */
  std::vector<routing_patch> routing_patches;

  registry_version version() const { return {era, revision}; }
};

/** Observations of targets since the sender's last message of this type. */
struct peer_reports {
  endpoint address;          ///< Of the sender, the same as in its heartbeats.
  uint64_t incarnation = 0;  ///< Of the sender.
  /** Increases with each message; a stale one is dropped. */
  uint64_t sequence = 0;
  std::vector<target_report> reports;
};

/** Fragment of an encoded message that is too large for one datagram. */
struct peer_fragment {
  /** Number of the message among the sender's fragmented ones. */
  uint64_t message = 0;
  uint32_t index = 0;
  uint32_t count = 0;
  std::string bytes;
};

/** Any message between balancers that replicate the directory. */
using peer_message =
    std::variant<peer_hello, peer_directory_delta, peer_fragment, peer_reports>;

}  // namespace turmeric

#endif  // TURMERIC_STATE_PEER_MESSAGE_TYPE_H_
