/** @file wire_release_test.cpp Datagrams of released versions. */
#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include "turmeric/coordination/forwarding_table_base.h"
#include "wire_examples.h"

namespace turmeric {
namespace {

struct wire_row {
  const char* name;
  const char* hex;
};

#define WIRE_EXAMPLE(name, hex) {#name, hex},
const wire_row release_1[] = {
#include "table/wire_release_1.h"
};
#undef WIRE_EXAMPLE

constexpr size_t tag_bytes = 16;
constexpr size_t body_field = 4;  ///< Of the envelope.

std::string bytes_of(const std::string& hex) {
  std::string out;
  for (size_t i = 0; i + 1 < hex.size(); i += 2)
    out += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return out;
}

codec_context context() {
  return make_codec_context("golden", std::string(64, 'a')).value();
}

std::string encoded(const std::string& name) {
  for (const auto& [example, message] : wire_examples()) {
    if (example == name)
      return encode(context(), message);
  }
  BOOST_FAIL("no example " << name);
  return "";
}

/** @return Whether an array of an earlier release is, field by field, the
 * beginning of one of this release, in which later ones may follow. */
bool continues(const msgpack::object& earlier, const msgpack::object& now) {
  if (earlier.type != msgpack::type::ARRAY || now.type != msgpack::type::ARRAY)
    return earlier == now;
  const auto& a = earlier.via.array;
  const auto& b = now.via.array;
  if (a.size > b.size)
    return false;
  for (uint32_t i = 0; i < a.size; ++i) {
    if (!continues(a.ptr[i], b.ptr[i]))
      return false;
  }
  return true;
}

msgpack::object_handle unpacked(const std::string& datagram) {
  return msgpack::unpack(datagram.data(), datagram.size() - tag_bytes);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wire_release_suite)

// During an upgrade, balancers get the datagrams of the earlier release.
BOOST_AUTO_TEST_CASE(datagrams_of_the_first_release_are_read) {
  for (const auto& row : release_1) {
    BOOST_TEST_CONTEXT(row.name) {
      const std::string data = bytes_of(row.hex);
      const auto read =
          decode_peer_message(context(), data.data(), data.size());
      BOOST_REQUIRE(read);
      // All fields were read if they are written again as they were.
      BOOST_TEST((encode(context(), read.value()) == encoded(row.name)));
    }
  }
}

// The earlier release reads fields by their position and ignores further ones.
BOOST_AUTO_TEST_CASE(the_first_release_finds_its_fields) {
  for (const auto& row : release_1) {
    BOOST_TEST_CONTEXT(row.name) {
      const auto earlier = unpacked(bytes_of(row.hex));
      const auto now = unpacked(encoded(row.name));
      BOOST_TEST(continues(earlier.get(), now.get()));
      BOOST_TEST(earlier->via.array.size == now->via.array.size);
      BOOST_TEST(earlier->via.array.ptr[body_field].type ==
                 msgpack::type::ARRAY);
    }
  }
}

struct token_row {
  const char* target;
  flow_token token;
};

// Both releases forward the segments of one flow, whose token either of them
// has written.
BOOST_AUTO_TEST_CASE(tokens_are_those_of_the_first_release) {
  const token_row rows[] = {
      {"i-786f44329d", 0x33e0c199},
      {"i-1", 0x213c9d73},
      {"", 0x15d514c7},
      {"front", 0x6c770f5a},
  };
  for (const auto& row : rows)
    BOOST_TEST(token_of(row.target) == row.token, row.target);
}

// A heartbeat of the first release names neither features nor a release.
BOOST_AUTO_TEST_CASE(the_first_release_has_no_features) {
  for (const auto& row : release_1) {
    const std::string data = bytes_of(row.hex);
    const auto read = decode_peer_message(context(), data.data(), data.size());
    BOOST_REQUIRE(read);
    if (const auto* hello = std::get_if<peer_hello>(&read.value())) {
      BOOST_TEST(hello->features == 0u);
      BOOST_TEST(hello->release == 1u);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
