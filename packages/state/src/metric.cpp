/** @file metric.cpp Metrics table and exposition format. */
#include "turmeric/state/metric_type.h"

#include <fmt/format.h>

namespace turmeric {
namespace {

/** @return A label's value in quotes, with quotes, backslashes and line ends
 * escaped. */
std::string quoted_label_value(const std::string& value) {
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\')
      out += '\\';
    if (c == '\n')
      out += "\\n";
    else
      out += c;
  }
  return out + "\"";
}

}  // namespace

const std::vector<metric_row>& metric_table() {
  static const std::vector<metric_row> table = {
#define TURMERIC_METRIC(id, name, type, unit, labels, text) \
  {metric::id, name, type, unit, labels, text},
#include "turmeric/state/table/metrics.h"
#undef TURMERIC_METRIC
  };
  return table;
}

void metric_writer::add(metric id,
                        double value,
                        const std::vector<metric_label>& labels,
                        std::string_view suffix) {
  const metric_row& row = metric_table()[static_cast<size_t>(id)];
  if (id != last_metric_) {
    text_ += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", row.name,
                         row.description, row.type);
    last_metric_ = id;
  }
  text_ += fmt::format("{}{}", row.name, suffix);
  for (size_t i = 0; i < labels.size(); ++i) {
    text_ += fmt::format("{}{}={}", i == 0 ? "{" : ",", labels[i].first,
                         quoted_label_value(labels[i].second));
  }
  text_ += fmt::format("{} {}\n", labels.empty() ? "" : "}", value);
}

std::string metrics_page() {
  std::string out =
      "# Metrics\n\nMade by `turmericstream metrics-page`. The forwarding mode "
      "serves them as text at\n`/metrics` on the address of the setting "
      "`forwarding.metrics`.\n\n"
      "| name | type | unit | labels | meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const auto& row : metric_table()) {
    out += fmt::format("| {} | {} | {} | {} | {} |\n", row.name, row.type,
                       row.unit, row.labels, row.description);
  }
  return out;
}

}  // namespace turmeric
