/** @file explain_page.h Explains from log lines what happened to a flow. */
#ifndef TURMERIC_APPS_TURMERICSTREAM_EXPLAIN_PAGE_H_
#define TURMERIC_APPS_TURMERICSTREAM_EXPLAIN_PAGE_H_

#include <istream>
#include <string>
#include <vector>

namespace turmeric::cli {

/** A log line that is shown in an explanation. */
struct explanation_line {
  std::string time;
  std::string instance;
  std::string text;  ///< Message and the fields behind the decision.
};

/** Log lines about a flow, and the cause that follows from them. */
struct explanation {
  std::vector<explanation_line> decisions;  ///< Lines of the flow, by time.
  /** Lines of its targets, and of starts, stops and dependencies of its
   * balancers, up to the time of the flow's last line; the newest 40. */
  std::vector<explanation_line> related;
  std::string cause;  ///< One sentence; empty if nothing was found.
};

/** Explains a flow from log lines of any number of balancers; lines without a
 * JSON object are skipped.
 * @param flow "IP:PORT" of the caller. */
explanation explain_flow(const std::vector<std::string>& lines,
                         const std::string& flow);

/** @return The explanation as text for a terminal. */
std::string to_text(const explanation& e, const std::string& flow);

}  // namespace turmeric::cli

#endif  // TURMERIC_APPS_TURMERICSTREAM_EXPLAIN_PAGE_H_
