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

/** @return All rows, in the table's order. */
const std::vector<metric_row>& metric_table();

/** A label of a sample with its value. */
using metric_label = std::pair<std::string_view, std::string>;

/** Writes samples as text in the common exposition format. */
class metric_writer {
 public:
  /** Adds a sample; samples of one metric must follow each other.
   * @param suffix Appended to the name, such as "_bucket". */
  void add(metric id,
           double value,
           const std::vector<metric_label>& labels = {},
           std::string_view suffix = "");

  /** @return All samples so far. */
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  metric last_ = metric::end;
};

/** @return The table as a Markdown page. */
std::string metrics_page();

}  // namespace turmeric

#endif  // TURMERIC_STATE_METRIC_TYPE_H_
