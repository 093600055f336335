/** @file explain_page.h Finds in log lines what happened to a flow. */
#ifndef TURMERIC_APPS_TURMERICSTREAM_EXPLAIN_PAGE_H_
#define TURMERIC_APPS_TURMERICSTREAM_EXPLAIN_PAGE_H_

#include <istream>
#include <string>
#include <vector>

namespace turmeric::cli {

/** A log line that bears on a flow. */
struct explained_line {
  std::string time;
  std::string instance;
  std::string text;  ///< Message and the fields that decided.
};

/** What the log says of a flow. */
struct explanation {
  std::vector<explained_line> decisions;  ///< On the flow itself, in order.
  /** On its targets and dependencies in the seconds before its last line. */
  std::vector<explained_line> background;
  std::string cause;  ///< One sentence; empty if nothing was found.
};

/** Reads log lines of any number of balancers; what is no JSON is skipped.
 * @param flow "IP:PORT" of the caller. */
explanation explain_flow(const std::vector<std::string>& lines,
                         const std::string& flow);

/** @return The explanation for a terminal. */
std::string to_text(const explanation& e, const std::string& flow);

}  // namespace turmeric::cli

#endif  // TURMERIC_APPS_TURMERICSTREAM_EXPLAIN_PAGE_H_
