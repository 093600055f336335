/** @file explain_page.cpp Filters and orders log lines of a flow. */
#include "explain_page.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <set>

#include "turmeric/state/json_func.h"

namespace turmeric::cli {
namespace {

/** Lines of background that are shown at most, the newest ones. */
constexpr size_t max_background = 40;

/** Fields that say what a decision rested on, in the order of the page. */
constexpr std::array<const char*, 17> shown_fields = {
    "reason",           "target",     "zone",   "failures",
    "in_hand",          "candidates", "cost",   "token",
    "since_opening_us", "kind",       "name",   "revision",
    "source",           "peer",       "status", "cause",
    "table_age_ms"};

explained_line line_of(const Json::Value& v) {
  explained_line out;
  out.time = v["time"].asString();
  out.instance = v["instance"].asString();
  out.text = v["message"].asString();
  for (const char* field : shown_fields) {
    if (v.isMember(field))
      out.text += fmt::format(", {} {}", field, v[field].asString());
  }
  return out;
}

bool earlier(const explained_line& a, const explained_line& b) {
  return a.time < b.time;
}

/** What may explain the outcome, the most telling first. */
struct cause_row {
  const char* message;
  const char* reason;  ///< Empty for any.
  const char* cause;
};

constexpr std::array<cause_row, 8> causes = {{
    {"flow refused", "no_target",
     "Refused: the route's services had no target that may take new flows. See "
     "the entries below, `forwarder targets` and withdrawn zones."},
    {"flow refused", "no_route",
     "Refused: no route at this address in the routing version named."},
    {"segment dropped", "unknown_token",
     "Broken: a segment named a target that this balancer does not know; its "
     "belief is older than the flow, or the target left long ago."},
    {"segment dropped", "no_table",
     "Dropped: the balancer had no table yet; see its start below."},
    {"target left an opening unanswered", "",
     "Late: its first target left the opening unanswered; the caller's "
     "repetition went elsewhere."},
    {"flow placed", "moved",
     "Late: the caller repeated the opening, which went to another target."},
    {"flow ended", "", "Served: the caller closed the flow after its answer."},
    {"flow placed", "",
     "Placed, and nothing more is on record: look at the target itself."},
}};

std::string cause_of(const std::vector<Json::Value>& decisions) {
  for (const auto& row : causes) {
    for (const auto& v : decisions) {
      const std::string reason = row.reason;
      if (v["message"].asString() == row.message &&
          (reason.empty() || v["reason"].asString() == reason))
        return row.cause;
    }
  }
  return "";
}

/** Lines about dependencies explain flows of every target. */
bool concerns_all(const Json::Value& v) {
  static const std::set<std::string> messages = {
      "started",           "stopping",
      "stopped",           "ready",
      "settings reloaded", "registry call failed",
      "registry regained", "peer started"};
  return messages.count(v["message"].asString()) != 0;
}

}  // namespace

explanation explain_flow(const std::vector<std::string>& lines,
                         const std::string& flow) {
  explanation out;
  std::vector<Json::Value> parsed;
  std::vector<Json::Value> decisions;
  std::set<std::string> targets;
  std::set<std::string> instances;
  std::string last;
  for (const auto& line : lines) {
    // Output of other programs may stand before the object.
    const size_t start = line.find('{');
    Json::Value v;
    if (start == std::string::npos || !json_parse(line.substr(start), &v) ||
        !v.isObject())
      continue;
    if (v["flow"].asString() == flow) {
      decisions.push_back(v);
      targets.insert(v["target"].asString());
      instances.insert(v["instance"].asString());
      last = std::max(last, v["time"].asString());
    }
    parsed.push_back(std::move(v));
  }
  for (const auto& v : decisions)
    out.decisions.push_back(line_of(v));
  std::stable_sort(out.decisions.begin(), out.decisions.end(), earlier);
  out.cause = cause_of(decisions);
  for (const auto& v : parsed) {
    const bool about_target =
        targets.count(v["name"].asString()) != 0 ||
        (v["flow"].asString() != flow &&
         v["message"].asString().rfind("target", 0) == 0 &&
         targets.count(v["target"].asString()) != 0);
    const bool about_instance =
        concerns_all(v) && instances.count(v["instance"].asString()) != 0;
    if ((about_target || about_instance) && v["time"].asString() <= last)
      out.background.push_back(line_of(v));
  }
  std::stable_sort(out.background.begin(), out.background.end(), earlier);
  if (out.background.size() > max_background) {
    out.background.erase(
        out.background.begin(),
        out.background.end() - static_cast<long>(max_background));
  }
  return out;
}

std::string to_text(const explanation& e, const std::string& flow) {
  if (e.decisions.empty()) {
    return fmt::format(
        "No line on {}. Of flows that are served at once only one in "
        "`log.one_in` is logged; refusals and repeated openings always are, "
        "within the limits of the log.\n",
        flow);
  }
  std::string out = e.cause + "\n\nDecisions:\n";
  for (const auto& line : e.decisions)
    out += fmt::format("  {} {}: {}\n", line.time, line.instance, line.text);
  out += "\nBefore it, on its targets and balancers:\n";
  for (const auto& line : e.background)
    out += fmt::format("  {} {}: {}\n", line.time, line.instance, line.text);
  return out;
}

}  // namespace turmeric::cli
