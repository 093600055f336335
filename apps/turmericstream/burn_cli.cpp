/** @file burn_cli.cpp report burn. */
#include <fmt/format.h>

#include "cli_base.h"

namespace turmeric::cli {

result<void> run_report(const cli_options&) {
  return fail(result_code::usage, "expected: report burn");
}

}  // namespace turmeric::cli
