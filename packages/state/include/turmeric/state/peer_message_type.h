/** @file peer_message_type.h Messages between balancers that share what they
 * know of the registry. */
#ifndef TURMERIC_STATE_PEER_MESSAGE_TYPE_H_
#define TURMERIC_STATE_PEER_MESSAGE_TYPE_H_

#include <array>
#include <string>
#include <variant>
#include <vector>

#include "turmeric/state/directory_type.h"
#include "turmeric/state/target_report_type.h"

namespace turmeric {

/** How far a balancer knows one kind of directory entry. */
struct directory_mark {
  uint64_t revision = 0;  ///< Complete up to this; 0 if nothing is known.
  uint64_t digest = 0;    ///< Of the names and revisions of all entries.
};

/** Heartbeat of a balancer. */
struct peer_hello {
  std::string name;
  std::string zone;
  endpoint address;          ///< Where peer messages reach it.
  uint64_t incarnation = 0;  ///< Start of its process, Unix microseconds.
  uint64_t sequence = 0;     ///< Counts its heartbeats from 1.
  bool leaving = false;
  std::array<directory_mark, directory_kinds> marks{};
  std::vector<endpoint> peers;  ///< Some balancers that it knows.
  /** A bit for each kind that it watches in the registry, in contact. */
  uint32_t watching = 0;
  /** A bit for each kind that it asks for, as the receiver knows more. */
  uint32_t wants = 0;
  /** The same, unless that is much: then it reads the registry. */
  uint32_t wants_news = 0;
};

/** @return Whether the sender of @p hello watches @p kind. */
inline bool watches(const peer_hello& hello, directory_kind kind) {
  return (hello.watching >> static_cast<uint32_t>(kind) & 1) != 0;
}

/** Entries of one kind, for a peer that knows an older state. */
struct peer_directory {
  uint64_t to_incarnation = 0;  ///< Incarnation of the receiver.
  directory_kind kind = directory_kind::targets;
  /** The entries are those changed after this; 0 if they are all. */
  uint64_t from_revision = 0;
  uint64_t revision = 0;
  std::vector<std::string> names;
  std::vector<uint64_t> revisions;  ///< As long as `names`.
  /** Entries removed after `from_revision`, and when. */
  std::vector<std::string> removed_names;
  std::vector<uint64_t> removed_revisions;  ///< As long as `removed_names`.
  /** As long as `names`; for the entry's kind, of those that could be read. */
  std::vector<target_entry> targets;
  std::vector<routing_entry> routings;
};

/** What a balancer saw of targets since its last such message. */
struct peer_reports {
  endpoint address;          ///< Of the sender, as in its heartbeats.
  uint64_t incarnation = 0;  ///< Of the sender.
  uint64_t sequence = 0;     ///< Grows from one to the next.
  std::vector<target_report> reports;
};

/** A part of an encoded message that does not fit a datagram. */
struct peer_fragment {
  uint64_t message = 0;  ///< Counts its sender's fragmented messages.
  uint32_t index = 0;
  uint32_t count = 0;
  std::string bytes;
};

/** Everything that travels between such balancers. */
using peer_message =
    std::variant<peer_hello, peer_directory, peer_fragment, peer_reports>;

}  // namespace turmeric

#endif  // TURMERIC_STATE_PEER_MESSAGE_TYPE_H_
