/** @file options.h Command lines of the stand-ins: --name value pairs. */
#ifndef TURMERIC_TESTS_STANDINS_OPTIONS_H_
#define TURMERIC_TESTS_STANDINS_OPTIONS_H_

#include <map>
#include <string>

#include "turmeric/state/message_type.h"

namespace turmeric::tests {

/** Values by name. */
class option_map {
 public:
  /** Reads "--name value" pairs; exits with a message if they are not. */
  option_map(int argc, char** argv);

  /** @return The value of @p name, or @p fallback. */
  std::string text(const std::string& name,
                   const std::string& fallback = "") const;

  /** @return The value as a number. */
  int64_t number(const std::string& name, int64_t fallback) const;

  /** @return The value as an address; exits with a message if it is none. */
  endpoint address(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

/** Splits at commas. */
std::vector<std::string> split(const std::string& text);

/** Blocks until SIGTERM or SIGINT. */
void wait_for_stop();

/** Installs the handlers that wait_for_stop() waits for. */
void catch_stop();

/** @return Whether SIGTERM or SIGINT came. */
bool stop_requested();

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_STANDINS_OPTIONS_H_
