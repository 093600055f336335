/** @file check_main.cpp Checks histories of callers and targets.
 *
 * Reads the JSON lines of the history files named on the command line, skips
 * other lines, and prints the counts as one JSON line. Exits with 1 for a
 * request without exactly one result or answered without a run ("lost"), a
 * non-repeatable one that ran more than once ("doubled"), an answer of another
 * request or service ("mixed"), a request at a target of another service
 * ("wrong_service"), or one reported as not run that did run ("untruthful").
 * Overloads are only counted.
 */
#include <fmt/format.h>

#include <fstream>
#include <map>
#include <string>

#include "turmeric/state/json_func.h"

namespace {

/** What all histories record about one request. */
struct request_summary {
  int results = 0;  ///< Final results recorded by its caller.
  int runs = 0;     ///< Recorded by targets.
  bool repeatable = true;
  bool not_run = false;  ///< Its result says that it did not run.
  std::string code;      ///< Name of its result code.
};

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, request_summary> requests;
  uint64_t mixed = 0, wrong_service = 0, overloads = 0;
  for (int i = 1; i < argc; ++i) {
    std::ifstream file(argv[i]);
    std::string line;
    while (std::getline(file, line)) {
      Json::Value record;
      if (!turmeric::json_parse(line, &record))
        continue;
      const std::string event = record["event"].asString();
      request_summary& request = requests[record["request"].asString()];
      if (event == "run")
        ++request.runs;
      overloads += event == "overload" ? 1 : 0;
      const bool misrouted =
          event != "result" && record["service"] != record["own_service"];
      wrong_service += misrouted ? 1 : 0;
      if (event != "result")
        continue;
      ++request.results;
      request.repeatable = record["repeatable"].asBool();
      request.not_run = record["not_run"].asBool();
      request.code = record["code"].asString();
      mixed += record["mixed"].asBool() ? 1 : 0;
    }
  }
  uint64_t total = 0, answered = 0, refused = 0, unknown = 0, lost = 0,
           doubled = 0, untruthful = 0;
  for (const auto& [id, request] : requests) {
    const bool answered_without_run = request.code == "ok" && request.runs == 0;
    total += request.results > 0 ? 1 : 0;
    answered += request.code == "ok" ? 1 : 0;
    refused += request.not_run ? 1 : 0;
    unknown += request.code == "unknown_outcome" ? 1 : 0;
    lost += request.results != 1 || answered_without_run ? 1 : 0;
    doubled += !request.repeatable && request.runs > 1 ? 1 : 0;
    untruthful += request.not_run && request.runs > 0 ? 1 : 0;
  }
  fmt::print(
      "{{\"requests\":{},\"answered\":{},\"refused_not_run\":{},\"unknown\":{},"
      "\"lost\":{},\"doubled\":{},\"mixed\":{},\"wrong_service\":{},"
      "\"untruthful\":{},\"overloads\":{}}}\n",
      total, answered, refused, unknown, lost, doubled, mixed, wrong_service,
      untruthful, overloads);
  return lost + doubled + mixed + wrong_service + untruthful == 0 ? 0 : 1;
}
