/** @file platform_test.cpp Packets and registry objects of the platform. */
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "turmeric/platform/registry_func.h"
#include "turmeric/platform/segment_func.h"

namespace turmeric {
namespace {

/** The example of an opening in the platform's documentation: from
 * 100.64.0.7:40001 to 198.18.0.1:443, sequence number 0x11223344. */
const std::vector<uint8_t> example_opening = {
    0xa1, 0xb2, 0xc3, 0xd5, 0x80, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x01,
    0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x11, 0x22,
    0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

/** The reset that the documentation shows as the reply to example_opening. */
const std::vector<uint8_t> example_reset = {
    0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c,
    0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

constexpr endpoint caller{0x64400007, 40001};
constexpr endpoint service{0xc6120001, 443};

registry_call make_list_call(directory_kind kind) {
  registry_call call;
  call.id = 7;
  call.kind = kind;
  return call;
}

constexpr time_us now = 1000 * us_per_s;
constexpr int http_ok = 200;

/** Reads a list of two targets, the first with the given @p spec and the second
 * with a valid one. */
registry_reply read_list_with_spec(const std::string& spec) {
  const std::string body =
      R"({"items":[{"meta":{"name":"i-7f3a91c2","revision":4,"created_rev":3},)"
      R"("spec":)" +
      spec +
      R"(,"status":null},{"meta":{"name":"i-1","revision":5,"created_rev":5},)"
      R"("spec":{"service":"notes","address":"10.0.0.1:80","zone":"north",)"
      R"("slots":2,"state":"ready","cold_left_ms":0}}],)"
      R"("has_more":false,"store_revision":9})";
  return platform::read_reply(make_list_call(directory_kind::targets), http_ok,
                              "", body, now);
}

const target_entry& first_target(const registry_reply& reply) {
  return std::get<target_entry>(*reply.changes[0].value);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_suite)

BOOST_AUTO_TEST_CASE(example_opening_is_read) {
  const auto s =
      platform::read_segment(example_opening.data(), example_opening.size());
  BOOST_REQUIRE(s.has_value());
  BOOST_TEST((s->source == caller));
  BOOST_TEST((s->destination == service));
  BOOST_TEST(s->flags.opens);
  BOOST_TEST(!s->flags.acknowledges);
  BOOST_TEST(s->sequence == 0x11223344u);
  BOOST_TEST(s->token == 0u);
  BOOST_TEST(s->data_bytes == 0u);
}

BOOST_AUTO_TEST_CASE(example_reset_is_made) {
  const auto s =
      platform::read_segment(example_opening.data(), example_opening.size());
  const auto reset = platform::make_reset(*s);
  BOOST_TEST(std::vector<uint8_t>(reset.begin(), reset.end()) == example_reset);
}

BOOST_AUTO_TEST_CASE(token_and_prefix_are_big_endian) {
  auto packet = example_opening;
  platform::write_token(packet.data(), 0x01020304);
  const auto s = platform::read_segment(packet.data(), packet.size());
  BOOST_TEST(s->token == 0x01020304u);
  packet.resize(28);
  BOOST_TEST(packet == std::vector<uint8_t>(example_opening.begin(),
                                            example_opening.begin() + 28));
  std::array<uint8_t, platform::target_prefix_bytes> prefix{};
  platform::write_target_prefix(prefix.data(), 0x7f3a91c2);
  const std::array<uint8_t, 8> expected = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
  BOOST_TEST(prefix == expected, boost::test_tools::per_element());
}

struct malformed_row {
  const char* name;
  size_t size;
  size_t at;
  uint8_t value;
};

BOOST_AUTO_TEST_CASE(malformed_packets_are_not_read) {
  const malformed_row rows[] = {
      {"empty", 0, 0, 0},
      {"shorter than a header", 31, 0, 0xa1},
      {"length field too large", 32, 7, 1},
      {"length field too small", 40, 7, 7},
      {"more data than allowed", 32 + 1201, 0, 0xa1},
      {"unknown flag", 32, 4, 0x81},
      {"largest datagram", 65507, 0, 0xa1},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      auto packet = example_opening;
      packet.resize(std::max(row.size, packet.size()));
      packet[row.at] = row.value;
      BOOST_TEST(!platform::read_segment(packet.data(), row.size).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(random_bytes_are_read_or_refused) {
  std::mt19937 random(7);
  for (int i = 0; i < 20000; ++i) {
    std::vector<uint8_t> packet(random() % 80);
    for (auto& byte : packet)
      byte = static_cast<uint8_t>(random());
    const auto s = platform::read_segment(packet.data(), packet.size());
    BOOST_TEST((!s.has_value() || s->data_bytes + 32 == packet.size()));
  }
}

struct target_row {
  const char* name;
  const char* spec;
  bool readable;
};

// Other programs write entries, too. An entry that cannot be read must yield no
// target, and must not make the other entries of the list unreadable.
BOOST_AUTO_TEST_CASE(unreadable_entries_yield_no_target) {
  const target_row rows[] = {
      {"as documented",
       R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a",)"
       R"("version":"v1","slots":2,"state":"ready","cold_left_ms":0,"seq":4})",
       true},
      {"new fields",
       R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a",)"
       R"("slots":2,"state":"draining","cold_left_ms":1.5,"x":[1],"born":12})",
       true},
      {"no state",
       R"({"service":"h","address":"10.0.0.9:80","zone":"a","slots":2,)"
       R"("cold_left_ms":0})",
       false},
      {"unknown state",
       R"({"service":"h","address":"10.0.0.9:80","zone":"a","slots":2,)"
       R"("state":"asleep","cold_left_ms":0})",
       false},
      {"service is a number",
       R"({"service":7,"address":"10.0.0.9:80","zone":"a","slots":2,)"
       R"("state":"ready","cold_left_ms":0})",
       false},
      {"address cannot be parsed",
       R"({"service":"h","address":"somewhere","zone":"a","slots":2,)"
       R"("state":"ready","cold_left_ms":0})",
       false},
      {"no slots",
       R"({"service":"h","address":"10.0.0.9:80","zone":"a","slots":0,)"
       R"("state":"ready","cold_left_ms":0})",
       false},
      {"negative slots",
       R"({"service":"h","address":"10.0.0.9:80","zone":"a","slots":-1,)"
       R"("state":"ready","cold_left_ms":0})",
       false},
      {"cold time is a string",
       R"({"service":"h","address":"10.0.0.9:80","zone":"a","slots":2,)"
       R"("state":"ready","cold_left_ms":"0"})",
       false},
      {"start time is a fraction",
       R"({"service":"h","address":"10.0.0.9:80","zone":"a","slots":2,)"
       R"("state":"ready","cold_left_ms":0,"born":1.5})",
       false},
      {"a list", "[1,2,3]", false},
      {"a string", R"("\u0000\uffff")", false},
      {"nothing", "null", false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      const auto reply = read_list_with_spec(row.spec);
      BOOST_TEST((reply.status == registry_status::ok));
      BOOST_REQUIRE(reply.changes.size() == 2u);
      BOOST_TEST((reply.changes[0].value != nullptr) == row.readable);
      BOOST_TEST(reply.changes[0].read_error.empty() == row.readable);
      BOOST_TEST((reply.changes[1].value != nullptr));
    }
  }
}

BOOST_AUTO_TEST_CASE(target_is_decoded) {
  const auto reply = read_list_with_spec(
      R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a","slots":3,)"
      R"("state":"draining","cold_left_ms":250,"seq":4,"born":17})");
  const target_entry& t = first_target(reply);
  BOOST_TEST(t.number == 0x7f3a91c2u);
  BOOST_TEST(t.service == "huvo");
  BOOST_TEST((t.address == endpoint{0x0a800009, 8080}));
  BOOST_TEST(t.slots == 3u);
  BOOST_TEST(t.draining);
  BOOST_TEST(t.cold_until == now + 250 * us_per_ms);
  BOOST_TEST(t.started_unix_ms == 17u);
  BOOST_TEST(t.created == 3u);
  BOOST_TEST(reply.revision == 9u);
}

BOOST_AUTO_TEST_CASE(routing_is_decoded) {
  const std::string body =
      R"({"items":[{"meta":{"name":"main","revision":4,"created_rev":3},"spec":)"
      R"({"version":7,"routes":[{"name":"r-a","host":"198.18.0.1",)"
      R"("path_prefix":"/8443/","route_type":"safe","timeout_ms":500,)"
      R"("target_latency_ms":100,"priority":2,"backends":[{"service":"a",)"
      R"("weight":90},{"service":"b","weight":10}],"max_attempts":2},)"
      R"({"name":"r-b","host":"198.18.0.1","path_prefix":"/8080/",)"
      R"("route_type":"unsafe","service":"a"}],"services":[{"name":"a",)"
      R"("max_conns":2000,"cold_per_s":1.5}],)"
      R"("limits":{"idle_timeout_ms":15000}}}],)"
      R"("has_more":false,"store_revision":9})";
  const auto reply = platform::read_reply(
      make_list_call(directory_kind::routing), http_ok, "", body, now);
  BOOST_REQUIRE(reply.changes.size() == 1u);
  BOOST_REQUIRE(reply.changes[0].value != nullptr);
  const auto& routing = std::get<routing_entry>(*reply.changes[0].value);
  BOOST_TEST(routing.version == 7u);
  BOOST_REQUIRE(routing.routes.size() == 2u);
  BOOST_TEST((routing.routes[0].address == endpoint{0xc6120001, 8443}));
  BOOST_TEST(routing.routes[0].services.size() == 2u);
  BOOST_TEST(routing.routes[0].services[0].weight == 90u);
  BOOST_TEST((routing.routes[1].kind == route_kind::unsafe));
  BOOST_TEST(routing.routes[1].services[0].service == "a");
  BOOST_TEST(routing.services[0].cold_per_s == 1.5);
  BOOST_TEST(routing.idle_timeout == 15 * us_per_s);
}

struct routing_row {
  const char* name;
  const char* spec;
  size_t routes;  ///< That are in force.
  size_t services;
  size_t unread_parts;
};

/** A route named r-b and a service, which no row of the tables below breaks. */
constexpr const char* valid_route =
    R"({"name":"r-b","host":"198.18.0.1","path_prefix":"/8080/",)"
    R"("route_type":"safe","service":"a"})";
constexpr const char* valid_service =
    R"({"name":"a","max_conns":2000,"cold_per_s":1.5})";

directory_change read_routing_spec(const std::string& spec) {
  const std::string body =
      R"({"items":[{"meta":{"name":"main","revision":4,"created_rev":3},)"
      R"("spec":)" +
      spec + R"(}],"has_more":false,"store_revision":9})";
  const auto reply = platform::read_reply(
      make_list_call(directory_kind::routing), http_ok, "", body, now);
  BOOST_REQUIRE((reply.status == registry_status::ok));
  BOOST_REQUIRE(reply.changes.size() == 1u);
  return reply.changes[0];
}

struct route_row {
  const char* name;
  const char* route;  ///< Read beside `valid_route`.
  size_t routes;
  size_t unread_parts;
};

// One route of a type unknown here made the whole configuration unreadable, so
// that a balancer that started with it served no route at all.
BOOST_AUTO_TEST_CASE(unreadable_part_of_a_route_costs_only_that_part) {
  const route_row rows[] = {
      {"of a known type",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"upload","service":"a"})",
       2, 0},
      {"of an unknown type",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"stream","service":"a"})",
       2, 1},
      {"type is a number",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":7,"service":"a"})",
       2, 1},
      {"no type",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("service":"a"})",
       2, 1},
      {"no name",
       R"({"host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"safe","service":"a"})",
       2, 1},
      {"times, priority of another type",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"safe","service":"a","timeout_ms":"1","priority":-1,)"
       R"("target_latency_ms":[]})",
       2, 3},
      {"priority beyond 32 bits",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"safe","service":"a","priority":1e300})",
       2, 1},
      {"host is a name",
       R"({"name":"r","host":"example","path_prefix":"/9000/",)"
       R"("route_type":"safe","service":"a"})",
       1, 1},
      {"no port",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/",)"
       R"("route_type":"safe","service":"a"})",
       1, 1},
      {"no service",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"safe"})",
       1, 1},
      {"one of two services is unreadable",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"safe","service":"a","backends":[{"service":"a",)"
       R"("weight":1},{"service":"b","weight":"2"}]})",
       2, 1},
      {"both services are unreadable",
       R"({"name":"r","host":"198.18.0.1","path_prefix":"/9000/",)"
       R"("route_type":"safe","service":"a","backends":[7,)"
       R"({"service":"b","weight":-2}]})",
       2, 2},
      {"a number", "7", 1, 1},
      {"nothing", "null", 1, 1},
      {"a list", "[[]]", 1, 1},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      const auto change = read_routing_spec(
          R"({"version":7,"routes":[)" + std::string(row.route) + "," +
          valid_route + R"(],"services":[)" + valid_service + "]}");
      BOOST_TEST(change.read_error.empty());
      BOOST_REQUIRE(change.value != nullptr);
      const auto& routing = std::get<routing_entry>(*change.value);
      BOOST_TEST(routing.routes.size() == row.routes);
      BOOST_TEST(routing.routes.back().name == "r-b");
      BOOST_TEST(change.unread_parts.size() == row.unread_parts);
    }
  }
}

// A route whose type is not known here may carry requests that must not run
// twice.
BOOST_AUTO_TEST_CASE(route_of_unknown_type_counts_as_unsafe) {
  const auto change = read_routing_spec(
      R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1",)"
      R"("path_prefix":"/9000/","route_type":"stream","service":"a"}],)"
      R"("services":[]})");
  BOOST_REQUIRE(change.value != nullptr);
  const auto& routing = std::get<routing_entry>(*change.value);
  BOOST_REQUIRE(routing.routes.size() == 1u);
  BOOST_TEST((routing.routes[0].kind == route_kind::unsafe));
}

BOOST_AUTO_TEST_CASE(unreadable_part_of_a_configuration_costs_only_that_part) {
  const routing_row rows[] = {
      {"no limits", R"("services":[SERVICE])", 1, 1, 0},
      {"limits are a list", R"("services":[SERVICE],"limits":[1])", 1, 1, 1},
      {"idle timeout is text",
       R"("services":[SERVICE],"limits":{"idle_timeout_ms":"9"})", 1, 1, 1},
      {"services are missing", R"("x":1)", 1, 0, 1},
      {"services are text", R"("services":"a")", 1, 0, 1},
      {"service without a name", R"("services":[{"max_conns":1},SERVICE])", 1,
       1, 1},
      {"service is a number", R"("services":[1,SERVICE])", 1, 1, 1},
      {"limits of a service of another type",
       R"("services":[{"name":"b","max_conns":-1,"cold_per_s":"x"},SERVICE])",
       1, 2, 2},
      {"connections beyond 32 bits",
       R"("services":[{"name":"b","max_conns":1e18},SERVICE])", 1, 2, 1},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      std::string rest = row.spec;
      const auto at = rest.find("SERVICE");
      if (at != std::string::npos)
        rest.replace(at, std::string("SERVICE").size(), valid_service);
      const auto change =
          read_routing_spec(R"({"version":7,"routes":[)" +
                            std::string(valid_route) + "]," + rest + "}");
      BOOST_TEST(change.read_error.empty());
      BOOST_REQUIRE(change.value != nullptr);
      const auto& routing = std::get<routing_entry>(*change.value);
      BOOST_TEST(routing.routes.size() == row.routes);
      BOOST_TEST(routing.services.size() == row.services);
      BOOST_TEST(change.unread_parts.size() == row.unread_parts);
    }
  }
}

// Without a version or a list of routes nothing says what is in force; the
// previous configuration stays.
BOOST_AUTO_TEST_CASE(configuration_without_version_or_routes_is_unreadable) {
  for (const std::string spec :
       {R"({"routes":[],"services":[]})", R"({"version":"7","routes":[]})",
        R"({"version":-1,"routes":[]})", R"({"version":7})",
        R"({"version":7,"routes":{}})", "[]", "null", "3"}) {
    BOOST_TEST_CONTEXT(spec) {
      const auto change = read_routing_spec(spec);
      BOOST_TEST(change.value == nullptr);
      BOOST_TEST(!change.read_error.empty());
    }
  }
}

// The next page of a list starts after the last name of the page before. An
// entry without a readable name at its end made the list start again.
BOOST_AUTO_TEST_CASE(entries_without_a_name_are_left_out_and_counted) {
  const char* const bodies[] = {
      R"({"items":[7,{"meta":{"revision":4}},{"meta":{"name":"i-1",)"
      R"("revision":5,"created_rev":5},"spec":null},{"meta":null}],)"
      R"("has_more":true,"store_revision":9})",
      R"({"events":[{},{"object":7,"deleted":true},{"object":{"meta":{"name":)"
      R"("i-1","revision":5,"created_rev":5},"spec":null},"deleted":false},)"
      R"({"object":{"meta":{"revision":1}},"deleted":1}],"store_revision":9})",
  };
  for (const char* body : bodies) {
    BOOST_TEST_CONTEXT(body) {
      registry_call call = make_list_call(directory_kind::targets);
      if (std::string(body).find("events") != std::string::npos)
        call.op = registry_op::watch;
      const auto reply = platform::read_reply(call, http_ok, "", body, now);
      BOOST_TEST((reply.status == registry_status::ok));
      BOOST_REQUIRE(reply.changes.size() == 1u);
      BOOST_TEST(reply.changes[0].name == "i-1");
      BOOST_TEST(reply.nameless == 3u);
    }
  }
}

struct reply_row {
  const char* name;
  int http_status;
  const char* body;
  registry_status expected;
};

BOOST_AUTO_TEST_CASE(answers_of_the_store) {
  const reply_row rows[] = {
      {"no items", 200, R"({"items":[],"has_more":false,"store_revision":3})",
       registry_status::ok},
      {"history gone", 410, "{}", registry_status::history_gone},
      {"rate limit exceeded", 429, "", registry_status::throttled},
      {"down", 503, "{}", registry_status::refused},
      {"not JSON", 200, "<html>", registry_status::unreadable},
      {"cut short", 200, R"({"items":[{"meta":)", registry_status::unreadable},
      {"no revision", 200, R"({"items":[],"has_more":false})",
       registry_status::unreadable},
      {"items are not a list", 200,
       R"({"items":7,"has_more":false,"store_revision":3})",
       registry_status::unreadable},
      {"a number", 200, "5", registry_status::unreadable},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      const auto reply =
          platform::read_reply(make_list_call(directory_kind::targets),
                               row.http_status, "", row.body, now);
      BOOST_TEST((reply.status == row.expected));
      BOOST_TEST(reply.id == 7u);
    }
  }
}

struct era_row {
  const char* header;
  uint64_t era;
};

BOOST_AUTO_TEST_CASE(era_of_the_store_is_read_from_its_header) {
  const era_row rows[] = {
      {"7", 7},   {"18446744073709551615", UINT64_MAX},
      {"", 0},    {"18446744073709551616", 0},
      {"-1", 0},  {"1.5", 0},
      {"7x", 0},  {" 7", 0},
      {"0x7", 0}, {"era", 0},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.header) {
      for (const int http_status : {200, 410, 429, 503}) {
        const auto reply = platform::read_reply(
            make_list_call(directory_kind::targets), http_status, row.header,
            R"({"items":[],"has_more":false,"store_revision":3})", now);
        BOOST_TEST(reply.era == row.era);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(deeply_nested_json_is_handled) {
  for (const size_t depth : {40u, 900u, 100000u}) {
    const std::string deep(depth, '[');
    const auto reply = platform::read_reply(
        make_list_call(directory_kind::targets), http_ok, "", deep, now);
    BOOST_TEST((reply.status == registry_status::unreadable));
  }
  // A deeply nested spec of one entry must not make the others unreadable.
  const std::string nested = std::string(60, '[') + std::string(60, ']');
  const auto reply = read_list_with_spec(nested);
  BOOST_TEST((reply.status == registry_status::ok));
  BOOST_TEST(reply.changes.size() == 2u);
}

BOOST_AUTO_TEST_CASE(calls_have_the_documented_paths) {
  registry_call list = make_list_call(directory_kind::targets);
  BOOST_TEST(platform::path_and_query(list) == "/v1/objects/servers");
  list.after = "i-7f3a91c2";
  BOOST_TEST(platform::path_and_query(list) ==
             "/v1/objects/servers?after=i-7f3a91c2");
  list.after = "a b\r\nX: &y";
  BOOST_TEST(platform::path_and_query(list) ==
             "/v1/objects/servers?after=a%20b%0D%0AX%3A%20%26y");
  registry_call watch = make_list_call(directory_kind::withdrawals);
  watch.op = registry_op::watch;
  watch.revision = 530;
  watch.wait = 2500 * us_per_ms;
  BOOST_TEST(platform::path_and_query(watch) ==
             "/v1/objects/evacuations?watch=530&wait_ms=2500");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
