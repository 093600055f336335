/** @file metric_type.h Names and units of the forwarding mode's metrics. */
#ifndef TURMERIC_STATE_METRIC_TYPE_H_
#define TURMERIC_STATE_METRIC_TYPE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmeric {

/** Every metric. */
enum class metric {
#define TURMERIC_METRIC(id, name, type, unit, labels, text) id,
#include "turmeric/state/table/metrics.h"
#undef TURMERIC_METRIC
  end
};

/** A row of the metrics table. */
struct metric_row {
  metric id;
  std::string_view name;
  std::string_view type;
  std::string_view unit;
  std::string_view labels;
  std::string_view description;
};

/** @return All rows, in the order of the table and of `metric`. */
const std::vector<metric_row>& metric_table();

/** Name and value of a label of a sample. */
using metric_label = std::pair<std::string_view, std::string>;

/** Formats samples in the Prometheus text exposition format. */
class metric_writer {
 public:
  /** Adds a sample. Samples of one metric must be added one after another, as
   * its HELP and TYPE lines are written whenever the metric changes.
   * @param suffix Appended to the name, such as "_bucket". */
  void add(metric id,
           double value,
           const std::vector<metric_label>& labels = {},
           std::string_view suffix = "");

  /** @return All samples added so far. */
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  metric last_metric_ = metric::end;
};

/** @return The table as a Markdown page. */
std::string metrics_page();

}  // namespace turmeric

#endif  // TURMERIC_STATE_METRIC_TYPE_H_
