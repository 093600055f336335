/** @file codec_test.cpp Datagrams: round trips, malformed input, fragments, and
 * datagrams of another key, cluster or domain. */
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "turmeric/protocol/codec_func.h"
#include "turmeric/protocol/fragment_base.h"

namespace turmeric {
namespace {

const std::string key_a(64, 'a');
const std::string key_b(64, 'b');

codec_context context(const std::string& cluster, const std::string& key) {
  return make_codec_context(cluster, key).value();
}

run_request make_run_request() {
  run_request m;
  m.service = service_id{5};
  m.request = request_id{77};
  m.granted_permit.serial = 9;
  m.body = "hello";
  m.missing_parts = {1, 3};
  m.reply_to = {0x7f000001, 99};
  return m;
}

int code_of(const result<packet>& r) {
  return r ? 0 : static_cast<int>(r.error().code);
}

BOOST_AUTO_TEST_SUITE(codec_suite)

BOOST_AUTO_TEST_CASE(round_trip_keeps_all_fields) {
  const auto c = context("x", key_a);
  const std::string data = encode(c, packet(make_run_request()));
  const auto decoded_message = decode_packet(c, data.data(), data.size());
  BOOST_REQUIRE(decoded_message);
  const auto& m = std::get<run_request>(decoded_message.value());
  BOOST_TEST(m.body == "hello");
  BOOST_TEST(m.missing_parts.size() == 2u);
  BOOST_TEST(m.granted_permit.serial == 9u);
  BOOST_TEST(m.reply_to.port == 99);
}

BOOST_AUTO_TEST_CASE(other_keys_clusters_and_domains_are_rejected) {
  const auto c = context("x", key_a);
  const std::string other_key =
      encode(context("x", key_b), packet(make_run_request()));
  const std::string other_cluster =
      encode(context("y", key_a), packet(make_run_request()));
  BOOST_TEST(code_of(decode_packet(c, other_key.data(), other_key.size())) ==
             static_cast<int>(result_code::bad_signature));
  BOOST_TEST(
      code_of(decode_packet(c, other_cluster.data(), other_cluster.size())) ==
      static_cast<int>(result_code::wrong_cluster));
  const std::string gossip = encode(c, gossip_message{});
  BOOST_TEST(code_of(decode_packet(c, gossip.data(), gossip.size())) ==
             static_cast<int>(result_code::bad_packet));
}

BOOST_AUTO_TEST_CASE(truncated_packets_are_refused) {
  const auto c = context("x", "");
  const std::string data = encode(c, packet(make_run_request()));
  for (size_t size = 0; size < data.size(); ++size)
    BOOST_TEST(!decode_packet(c, data.data(), size).has_value());
}

BOOST_AUTO_TEST_CASE(mutated_packets_do_not_crash_the_decoders) {
  const auto c = context("x", "");
  std::mt19937 random(7);
  const std::string valid = encode(c, packet(make_run_request()));
  int decoded = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string data = valid;
    for (int j = 0; j < 3; ++j)
      data[random() % data.size()] = static_cast<char>(random());
    decoded += decode_packet(c, data.data(), data.size()) ? 1 : 0;
    decoded += decode_gossip(c, data.data(), data.size()) ? 1 : 0;
  }
  // A mutation that changes only payload bytes leaves the packet valid.
  BOOST_TEST(decoded < 20000);
}

peer_directory_delta make_peer_directory(size_t routes) {
  peer_directory_delta m;
  m.kind = directory_kind::routing;
  m.revision = 9;
  m.names = {"main"};
  m.revisions = {9};
  routing_entry routing;
  route_entry route;
  route.name = "a-route-with-a-name";
  route.services = {{"service", 1}};
  routing.routes.resize(routes, route);
  m.routings = {routing};
  return m;
}

/** Adds datagrams to a reassembler. @return The number of complete messages. */
int reassemble(const codec_context& c,
               const std::vector<std::string>& datagrams,
               fragment_reassembler* reassembler) {
  int complete_messages = 0;
  for (const auto& data : datagrams) {
    auto decoded = decode_peer_message(c, data.data(), data.size());
    BOOST_REQUIRE(decoded);
    auto reassembled =
        reassembler->add(c, endpoint{1, 2}, std::move(decoded.value()));
    complete_messages += reassembled.has_value() ? 1 : 0;
  }
  return complete_messages;
}

// A peer of a later version may know kinds of routes that this one does not.
BOOST_AUTO_TEST_CASE(route_of_unknown_kind_is_decoded_as_unsafe) {
  const auto c = context("x", key_a);
  peer_directory_delta m = make_peer_directory(2);
  m.routings[0].routes[0].kind =
      static_cast<route_kind>(static_cast<int>(route_kind::end) + 3);
  const auto datagrams = encode_datagrams(c, m, 1);
  BOOST_REQUIRE(datagrams.size() == 1u);
  auto decoded =
      decode_peer_message(c, datagrams[0].data(), datagrams[0].size());
  BOOST_REQUIRE(decoded);
  const auto& directory = std::get<peer_directory_delta>(decoded.value());
  BOOST_REQUIRE(directory.routings.size() == 1u);
  BOOST_REQUIRE(directory.routings[0].routes.size() == 2u);
  BOOST_TEST((directory.routings[0].routes[0].kind == route_kind::unsafe));
}

BOOST_AUTO_TEST_CASE(round_trip_keeps_target_reports) {
  const auto c = context("x", key_a);
  peer_reports m{
      {5, 6}, 7, 8, {{9, target_observation::recovered, 10, 11, 12}}};
  const auto datagrams = encode_datagrams(c, m, 1);
  BOOST_REQUIRE(datagrams.size() == 1u);
  auto decoded =
      decode_peer_message(c, datagrams[0].data(), datagrams[0].size());
  BOOST_REQUIRE(decoded);
  const auto* decoded_message = std::get_if<peer_reports>(&decoded.value());
  BOOST_REQUIRE(decoded_message != nullptr);
  BOOST_TEST((decoded_message->address == endpoint{5, 6}));
  BOOST_TEST(decoded_message->sequence == 8u);
  BOOST_REQUIRE(decoded_message->reports.size() == 1u);
  BOOST_TEST(decoded_message->reports[0].token == 9u);
  BOOST_TEST((decoded_message->reports[0].observation ==
              target_observation::recovered));
  BOOST_TEST(decoded_message->reports[0].remaining == 11);
}

// The routing of a large installation does not fit one datagram. Its fragments
// may arrive in any order, and one of them may be lost.
BOOST_AUTO_TEST_CASE(large_messages_are_sent_in_fragments) {
  const auto c = context("x", key_a);
  const auto small = encode_datagrams(c, make_peer_directory(3), 1);
  BOOST_TEST(small.size() == 1u);
  auto large = encode_datagrams(c, make_peer_directory(5000), 2);
  BOOST_TEST(large.size() > 4u);
  for (const auto& data : large)
    BOOST_TEST(data.size() < 60000u);
  fragment_reassembler reassembler;
  BOOST_TEST(reassemble(c, small, &reassembler) == 1);
  BOOST_TEST(reassemble(c, large, &reassembler) == 1);
  std::reverse(large.begin(), large.end());
  BOOST_TEST(reassemble(c, large, &reassembler) == 1);
  auto incomplete = large;
  incomplete.pop_back();
  BOOST_TEST(reassemble(c, incomplete, &reassembler) == 0);
  // Fragments of a newer message replace an incomplete one.
  const auto newer = encode_datagrams(c, make_peer_directory(4000), 3);
  BOOST_TEST(reassemble(c, newer, &reassembler) == 1);
}

BOOST_AUTO_TEST_CASE(fragments_with_invalid_index_or_count_are_dropped) {
  const auto c = context("x", key_a);
  fragment_reassembler reassembler;
  for (const auto& [index, count] :
       {std::pair<uint32_t, uint32_t>{0, 0}, {5, 3}, {0, 1000000}}) {
    peer_fragment f;
    f.message = 1;
    f.index = index;
    f.count = count;
    f.bytes = "x";
    BOOST_TEST(
        !reassembler.add(c, endpoint{1, 2}, peer_message(f)).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
