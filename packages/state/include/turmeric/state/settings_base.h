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

/** Every setting; an enumerator is the section and the name, joined by "_". */
enum class setting {
#define TURMERIC_SETTING(section, name, kind, unit, default_value, min, max, \
                         text)                                               \
  section##_##name,
#include "turmeric/state/table/settings.h"
#undef TURMERIC_SETTING
  end
};

/** The value of a flag is `true` or `false`. */
enum class setting_kind { text, number, decimal, flag };

struct setting_row {
  setting id;
  std::string_view section;
  std::string_view name;
  setting_kind kind;
  std::string_view unit;
  std::string_view default_value;
  int64_t min;  ///< Smallest number, or shortest text in bytes; 0 for flags.
  int64_t max;  ///< Largest number, or longest text in bytes; 0 for flags.
  std::string_view description;
};

/** @return All rows, in the order of the table and of `setting`. */
const std::vector<setting_row>& setting_table();

/** Values of all settings, checked against the table when set. */
class settings {
 public:
  /** Sets the defaults. Those of required settings are out of bounds; see
   * check_complete(). */
  settings();

  /** On an error the old value remains.
   * @return `unknown_setting` or `setting_out_of_range`. */
  result<void> set(const std::string& section,
                   const std::string& name,
                   const std::string& value);

  /** Valid for all kinds. */
  const std::string& text(setting id) const;

  /** In the unit of its table row. @pre The kind is number. */
  int64_t number(setting id) const;

  /** In the unit of its table row. @pre The kind is decimal. */
  double decimal(setting id) const;

  /** @pre The kind is flag. */
  bool flag(setting id) const { return text(id) == "true"; }

  /** @pre The kind is number and the unit is ms. */
  time_us duration(setting id) const { return number(id) * us_per_ms; }

  /** @return `setting_out_of_range` if a required text, which has no default,
   * was not set, `setting_conflict` if two settings contradict each other. */
  result<void> check_complete() const;

 private:
  std::vector<std::string> values_;
};

/** Reads settings from the INI file @p path, up to the first error.
 * @return The error with the file, and with the line unless a required setting
 * is missing. */
result<settings> read_settings(const std::string& path);

/** @return The table as plain text for `--help-settings`. */
std::string settings_help();

/** @return The table as a Markdown page. */
std::string settings_page();

}  // namespace turmeric

#endif  // TURMERIC_STATE_SETTINGS_BASE_H_
