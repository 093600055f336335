/** @file explain_page.cpp Selects and sorts log lines that explain a flow. */
#include "explain_page.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <set>

#include "turmeric/state/json_func.h"

namespace turmeric::cli {
namespace {

/** Maximum number of related lines; the newest are kept. */
constexpr size_t max_related_lines = 40;

/** Fields with the inputs of a decision, in the order of the output. */
constexpr std::array<const char*, 17> shown_fields = {
    "reason",           "target",     "zone",   "failures",
    "in_hand",          "candidates", "cost",   "token",
    "since_opening_us", "kind",       "name",   "revision",
    "source",           "peer",       "status", "cause",
    "table_age_ms"};

explanation_line line_of(const Json::Value& v) {
  explanation_line out;
  out.time = v["time"].asString();
  out.instance = v["instance"].asString();
  out.text = v["message"].asString();
  for (const char* field : shown_fields) {
    if (v.isMember(field))
      out.text += fmt::format(", {} {}", field, v[field].asString());
  }
  return out;
}

bool is_earlier(const explanation_line& a, const explanation_line& b) {
  return a.time < b.time;
}

/** The cause that explain prints if a flow has a log line that matches. */
struct cause_row {
  const char* message;
  const char* reason;  ///< Empty: matches every reason.
  const char* cause;
};

/** The first row that matches any line of the flow gives the cause, so specific
 * failures come before general outcomes. */
constexpr std::array<cause_row, 10> causes = {{
    {"flow refused", "no_target",
     "Refused: the route's services had no target that may take new flows. See "
     "the entries below, `forwarder targets` and withdrawn zones."},
    {"flow refused", "no_route",
     "Refused: no route at this address in the routing version named."},
    {"flow refused", "overloaded",
     "Refused: the targets of the service were full, and callers of a higher "
     "priority or with fewer flows went first. See `forwarder status`."},
    {"segment dropped", "unknown_token",
     "Broken: a segment named a target that is not in this balancer's table; "
     "the table is older than the flow, or the target was removed long ago."},
    {"segment dropped", "no_table",
     "Dropped: the balancer had no table yet; see its start below."},
    {"segment dropped", "superseded",
     "Late: the opening waited in a balancer that was paused or overloaded, "
     "until its caller repeated it."},
    {"target left an opening unanswered", "",
     "Late: its first target left the opening unanswered; the caller's "
     "repeated opening went to another target."},
    {"flow placed", "moved",
     "Late: the caller repeated the opening, which went to another target."},
    {"flow ended", "", "Served: the caller closed the flow after its answer."},
    {"flow placed", "",
     "Placed, and no later line was logged: check the target itself."},
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

/** @return Whether the line is about the balancer itself, the registry or a
 * peer, so that it may explain flows of every target. */
bool affects_all_flows(const Json::Value& v) {
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
  std::string last_time;
  for (const auto& line : lines) {
    // Other programs, such as a log collector, may have put text before the
    // JSON object.
    const size_t start = line.find('{');
    Json::Value v;
    if (start == std::string::npos || !json_parse(line.substr(start), &v) ||
        !v.isObject())
      continue;
    if (v["flow"].asString() == flow) {
      decisions.push_back(v);
      targets.insert(v["target"].asString());
      instances.insert(v["instance"].asString());
      last_time = std::max(last_time, v["time"].asString());
    }
    parsed.push_back(std::move(v));
  }
  for (const auto& v : decisions)
    out.decisions.push_back(line_of(v));
  std::stable_sort(out.decisions.begin(), out.decisions.end(), is_earlier);
  out.cause = cause_of(decisions);
  for (const auto& v : parsed) {
    const bool about_target =
        targets.count(v["name"].asString()) != 0 ||
        (v["flow"].asString() != flow &&
         v["message"].asString().rfind("target", 0) == 0 &&
         targets.count(v["target"].asString()) != 0);
    const bool about_instance =
        affects_all_flows(v) && instances.count(v["instance"].asString()) != 0;
    if ((about_target || about_instance) && v["time"].asString() <= last_time)
      out.related.push_back(line_of(v));
  }
  std::stable_sort(out.related.begin(), out.related.end(), is_earlier);
  if (out.related.size() > max_related_lines) {
    out.related.erase(out.related.begin(),
                      out.related.end() - static_cast<long>(max_related_lines));
  }
  return out;
}

std::string to_text(const explanation& e, const std::string& flow) {
  if (e.decisions.empty()) {
    return fmt::format(
        "No line on {}. Of flows that are answered at the first opening, one "
        "in `log.one_in` is logged; refusals and repeated openings are "
        "always logged, within the rate limits of the log.\n",
        flow);
  }
  std::string out = e.cause + "\n\nDecisions:\n";
  for (const auto& line : e.decisions)
    out += fmt::format("  {} {}: {}\n", line.time, line.instance, line.text);
  out += "\nEarlier lines on its targets and balancers:\n";
  for (const auto& line : e.related)
    out += fmt::format("  {} {}: {}\n", line.time, line.instance, line.text);
  return out;
}

}  // namespace turmeric::cli
