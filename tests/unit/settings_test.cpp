/** @file settings_test.cpp Settings and INI files. */
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

#include "turmeric/state/ini_func.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {
namespace {

namespace data = boost::unit_test::data;

struct invalid_setting {
  const char* section;
  const char* name;
  const char* value;
  result_code expected;
};

std::ostream& operator<<(std::ostream& out, const invalid_setting& s) {
  return out << s.section << "." << s.name << "=" << s.value;
}

const invalid_setting invalid_settings[] = {
    {"network", "colour", "1", result_code::unknown_setting},
    {"instance", "peer_port", "1", result_code::unknown_setting},
    {"network", "peer_port", "0", result_code::setting_out_of_range},
    {"network", "peer_port", "65536", result_code::setting_out_of_range},
    {"network", "peer_port", "12x", result_code::setting_out_of_range},
    {"network", "peer_port", "", result_code::setting_out_of_range},
    {"instance", "key", "abc", result_code::setting_out_of_range},
    {"instance", "name", "", result_code::setting_out_of_range},
};

BOOST_AUTO_TEST_SUITE(settings_suite)

BOOST_DATA_TEST_CASE(invalid_values_are_refused,
                     data::make(invalid_settings),
                     row) {
  settings s;
  const auto set_result = s.set(row.section, row.name, row.value);
  BOOST_REQUIRE(!set_result);
  BOOST_TEST(static_cast<int>(set_result.error().code) ==
             static_cast<int>(row.expected));
}

BOOST_AUTO_TEST_CASE(refused_value_changes_nothing) {
  settings s;
  BOOST_REQUIRE(s.set("network", "peer_port", "1234"));
  BOOST_REQUIRE(!s.set("network", "peer_port", "0"));
  BOOST_TEST(s.number(setting::network_peer_port) == 1234);
}

BOOST_AUTO_TEST_CASE(defaults_are_within_their_ranges) {
  for (const auto& row : setting_table()) {
    if (row.kind != setting_kind::number)
      continue;
    settings s;
    const auto set_result =
        s.set(std::string(row.section), std::string(row.name),
              std::string(row.default_value));
    BOOST_TEST(set_result.has_value(), row.name);
  }
}

BOOST_AUTO_TEST_CASE(error_names_file_and_line) {
  const std::string path =
      (std::filesystem::temp_directory_path() /
       fmt::format("turmericstream-settings-{}.ini", getpid()))
          .string();
  std::ofstream(path) << "[instance]\nname = a\n\nspeed = 9\n";
  const auto read = read_settings(path);
  std::remove(path.c_str());
  BOOST_REQUIRE(!read);
  BOOST_TEST(read.error().line == 4);
  BOOST_TEST(read.error().file == path);
}

BOOST_AUTO_TEST_CASE(ini_lines_have_numbers) {
  const auto lines = parse_ini("; comment\n[a]\nx = 1\n\n[b c]\ny = 2\n", "f");
  BOOST_REQUIRE(lines);
  BOOST_REQUIRE(lines.value().size() == 2u);
  BOOST_TEST(lines.value()[0].line_number == 3);
  BOOST_TEST(lines.value()[1].section == "b c");
  BOOST_TEST(lines.value()[1].line_number == 6);
}

BOOST_AUTO_TEST_CASE(malformed_ini_error_names_the_line) {
  const auto lines = parse_ini("[a]\nx = 1\nnonsense\n", "f");
  BOOST_REQUIRE(!lines);
  BOOST_TEST(lines.error().line == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace turmeric
