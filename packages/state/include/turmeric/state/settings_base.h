/** @file settings_base.h Settings, read and checked by one table. */
#ifndef TURMERIC_STATE_SETTINGS_BASE_H_
#define TURMERIC_STATE_SETTINGS_BASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmeric/state/error_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** Every setting; the name joins section and name. */
enum class setting {
#define TURMERIC_SETTING(section, name, kind, unit, value, min, max, text) \
  section##_##name,
#include "turmeric/state/table/settings.h"
#undef TURMERIC_SETTING
  end
};

/** How a setting's text is read. */
enum class setting_kind { text, number, decimal };

/** A row of the settings table. */
struct setting_row {
  setting id;
  std::string_view section;
  std::string_view name;
  setting_kind kind;
  std::string_view unit;
  std::string_view default_value;
  int64_t min;
  int64_t max;
  std::string_view description;
};

/** @return All rows, in the table's order. */
const std::vector<setting_row>& setting_table();

/** Checked values of all settings. */
class settings {
 public:
  /** Starts with the table's defaults. */
  settings();

  /** Sets one value.
   * @return `unknown_setting` or `setting_out_of_range`. */
  result<void> set(const std::string& section,
                   const std::string& name,
                   const std::string& value);

  /** @return The text of @p id. */
  const std::string& text(setting id) const;

  /** @return The number of @p id. @pre Its kind is number. */
  int64_t number(setting id) const;

  /** @return The value of @p id. @pre Its kind is decimal. */
  double decimal(setting id) const;

  /** @return The number of @p id in milliseconds as microseconds. */
  time_us duration(setting id) const { return number(id) * us_per_ms; }

  /** @return `setting_out_of_range` if a text without default is missing. */
  result<void> check_complete() const;

 private:
  std::vector<std::string> values_;
};

/** Reads an INI file into settings; the first mistake ends it.
 * @return The error with file and line. */
result<settings> read_settings(const std::string& path);

/** @return The table as text for `--help-settings`. */
std::string settings_help();

/** @return The table as a Markdown page. */
std::string settings_page();

}  // namespace turmeric

#endif  // TURMERIC_STATE_SETTINGS_BASE_H_
