/** @file check_main.cpp Checks histories of callers and targets.
 *
 * Reads the JSON lines of all files named on the command line and prints one
 * JSON line. Exits with 1 if a promise was broken.
 */
#include <fmt/format.h>

#include <fstream>
#include <map>
#include <string>

#include "turmeric/state/json_func.h"

namespace {

struct request_view {
  int results = 0;
  int runs = 0;
  bool repeatable = true;
  bool not_run = false;
  std::string code;
};

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, request_view> requests;
  uint64_t mixed = 0, wrong_service = 0, overloads = 0;
  for (int i = 1; i < argc; ++i) {
    std::ifstream file(argv[i]);
    std::string line;
    while (std::getline(file, line)) {
      Json::Value v;
      if (!turmeric::json_parse(line, &v))
        continue;
      const std::string event = v["event"].asString();
      request_view& r = requests[v["request"].asString()];
      if (event == "run")
        ++r.runs;
      overloads += event == "overload" ? 1 : 0;
      const bool stray = event != "result" && v["service"] != v["own_service"];
      wrong_service += stray ? 1 : 0;
      if (event != "result")
        continue;
      ++r.results;
      r.repeatable = v["repeatable"].asBool();
      r.not_run = v["not_run"].asBool();
      r.code = v["code"].asString();
      mixed += v["mixed"].asBool() ? 1 : 0;
    }
  }
  uint64_t total = 0, answered = 0, refused = 0, unknown = 0, lost = 0,
           doubled = 0, untruthful = 0;
  for (const auto& [id, r] : requests) {
    const bool answered_without_run = r.code == "ok" && r.runs == 0;
    total += r.results > 0 ? 1 : 0;
    answered += r.code == "ok" ? 1 : 0;
    refused += r.not_run ? 1 : 0;
    unknown += r.code == "unknown_outcome" ? 1 : 0;
    lost += r.results != 1 || answered_without_run ? 1 : 0;
    doubled += !r.repeatable && r.runs > 1 ? 1 : 0;
    untruthful += r.not_run && r.runs > 0 ? 1 : 0;
  }
  fmt::print(
      "{{\"requests\":{},\"answered\":{},\"refused_not_run\":{},\"unknown\":{},"
      "\"lost\":{},\"doubled\":{},\"mixed\":{},\"wrong_service\":{},"
      "\"untruthful\":{},\"overloads\":{}}}\n",
      total, answered, refused, unknown, lost, doubled, mixed, wrong_service,
      untruthful, overloads);
  return lost + doubled + mixed + wrong_service + untruthful == 0 ? 0 : 1;
}
