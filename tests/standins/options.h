/** @file options.h Command lines (pairs of --NAME VALUE) and stop signals of
 * the stand-ins. */
#ifndef TURMERIC_TESTS_STANDINS_OPTIONS_H_
#define TURMERIC_TESTS_STANDINS_OPTIONS_H_

#include <map>
#include <string>

#include "turmeric/state/message_type.h"

namespace turmeric::tests {

/** Options of the command line by name, without the leading dashes. */
class option_map {
 public:
  /** Exits with status 2 and a message unless all arguments are pairs --NAME
   * VALUE. */
  option_map(int argc, char** argv);

  /** @return The value, or @p fallback if the option is not given. */
  std::string text(const std::string& name,
                   const std::string& fallback = "") const;

  /** @return The decimal value, or @p fallback if it is not given or empty.
   * Text that is no number counts as 0. */
  int64_t number(const std::string& name, int64_t fallback) const;

  /** Exits with status 2 and a message if the value is not IP:PORT. */
  endpoint address(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

/** @return The items of a comma-separated list. */
std::vector<std::string> split(const std::string& text);

/** Blocks until SIGTERM or SIGINT was received; checks every 20 ms.
 * @pre install_stop_handlers() was called. */
void wait_for_stop();

/** Handles SIGTERM and SIGINT for wait_for_stop() and stop_requested(), and
 * ignores SIGPIPE. */
void install_stop_handlers();

/** @return Whether SIGTERM or SIGINT was received. */
bool stop_requested();

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_STANDINS_OPTIONS_H_
