/** @file declaration_test.cpp Templates, client accounts and plans. */
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "turmeric/coordination/declaration_func.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric {
namespace {

namespace data = boost::unit_test::data;

constexpr const char* template_text =
    "[template]\nname = club\n[service notes]\nslots = 3\nlatency_ms = 200\n"
    "[service archive]\nslots = 2\n";

constexpr const char* account_text =
    "[account]\nname = chroniclers\ntemplate = club\nzones = north, south\n"
    "[targets notes]\nn1 = north 127.0.0.1:9001\nn2 = south 127.0.0.1:9002\n";

std::map<std::string, template_declaration> templates() {
  return {{"club", parse_template(template_text, "club.ini").value()}};
}

struct invalid_declaration {
  const char* text;
  int line;
  result_code code;
};

std::ostream& operator<<(std::ostream& out, const invalid_declaration& m) {
  return out << m.text;
}

const invalid_declaration unparsable_accounts[] = {
    {"[account]\nname = a b\n", 2, result_code::declaration_invalid},
    {"[account]\nname = a\ncapacity = 0\n", 3,
     result_code::declaration_invalid},
    {"[account]\nname = a\nspeed = 1\n", 3, result_code::declaration_invalid},
    {"[account]\nname = a\n[else]\nx = 1\n", 4,
     result_code::declaration_invalid},
    {"[account]\nname = a\ntemplate = t\n[targets s]\nn = z 1.2.3:4\n", 5,
     result_code::declaration_invalid},
    {"[account]\nname = a\ntemplate = t\n[targets s]\nn = z 1.2.3.400:4\n", 5,
     result_code::declaration_invalid},
    {"[account]\nname = a\n", 1, result_code::declaration_invalid},
};

const invalid_declaration unrenderable_accounts[] = {
    {"[account]\nname = a\ntemplate = none\n", 3,
     result_code::template_missing},
    {"[account]\nname = a\ntemplate = club\nzones = z\n[targets other]\n"
     "n = z 1.2.3.4:5\n",
     6, result_code::declaration_invalid},
    {"[account]\nname = a\ntemplate = club\nzones = y\n[targets notes]\n"
     "n = z 1.2.3.4:5\n",
     6, result_code::declaration_invalid},
    {"[account]\nname = a\ntemplate = club\nzones = z\n[targets notes]\n"
     "n = z 1.2.3.4:5\nn = z 1.2.3.4:6\n",
     7, result_code::declaration_invalid},
};

config_change make_change(const change_plan& plan) {
  config_change c;
  c.number = plan.base + 1;
  c.entries = plan.entries;
  return c;
}

BOOST_AUTO_TEST_SUITE(declaration_suite)

BOOST_DATA_TEST_CASE(account_errors_name_the_line,
                     data::make(unparsable_accounts),
                     row) {
  const auto parsed = parse_account(row.text, "a.ini");
  BOOST_REQUIRE(!parsed);
  BOOST_TEST(parsed.error().line == row.line);
  BOOST_TEST(parsed.error().file == "a.ini");
  BOOST_TEST(static_cast<int>(parsed.error().code) ==
             static_cast<int>(row.code));
}

BOOST_DATA_TEST_CASE(render_errors_name_the_line,
                     data::make(unrenderable_accounts),
                     row) {
  const auto parsed = parse_account(row.text, "a.ini");
  BOOST_REQUIRE(parsed);
  const auto rendered = render(templates(), parsed.value());
  BOOST_REQUIRE(!rendered);
  BOOST_TEST(rendered.error().line == row.line);
  BOOST_TEST(static_cast<int>(rendered.error().code) ==
             static_cast<int>(row.code));
}

BOOST_AUTO_TEST_CASE(account_capacity_overrides_template_slots) {
  const auto account = parse_account(
      std::string(account_text).insert(10, "capacity = 7\n"), "a.ini");
  const auto services = render(templates(), account.value());
  BOOST_REQUIRE(services);
  BOOST_TEST(services.value().front().slots == 7u);
}

BOOST_AUTO_TEST_CASE(plan_contains_only_changed_entries) {
  const auto account = parse_account(account_text, "a.ini").value();
  const auto services = render(templates(), account).value();
  config_state state;
  const auto first = plan_account(state, account.name, services);
  BOOST_REQUIRE(first);
  BOOST_TEST(first.value().entries.size() == 1u);
  state.apply(make_change(first.value()));
  const auto second = plan_account(state, account.name, services);
  BOOST_REQUIRE(second);
  BOOST_TEST(second.value().entries.empty());
}

BOOST_AUTO_TEST_CASE(removing_a_target_needs_a_drain) {
  const auto account = parse_account(account_text, "a.ini").value();
  auto services = render(templates(), account).value();
  config_state state;
  state.apply(make_change(plan_account(state, account.name, services).value()));
  const std::string removed = services.front().targets.back().name;
  services.front().targets.pop_back();
  BOOST_TEST(!plan_account(state, account.name, services).has_value());
  const std::string drain = make_key(key_kind::target_drain, removed);
  state.apply(make_change(plan_flag(state, drain, true)));
  const auto plan = plan_account(state, account.name, services);
  BOOST_REQUIRE(plan);
  BOOST_TEST(plan.value().entries.size() == 2u);  // Service and drain flag.
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
