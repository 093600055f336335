/** @file burn_page.h The burn report as text, JSON and HTML. */
#ifndef TURMERIC_APPS_TURMERICSTREAM_BURN_PAGE_H_
#define TURMERIC_APPS_TURMERICSTREAM_BURN_PAGE_H_

#include <json/json.h>

#include <string>
#include <vector>

#include "turmeric/coordination/burn_func.h"

namespace turmeric::cli {

/** Burn of one service in one availability zone. */
struct burn_row {
  std::string account;
  std::string service;
  std::string zone;
  burn_result burn;
  double imbalance = 0;  ///< Over all zones; see imbalance_of().
};

/** The report on all services, and how many balancers it covers. */
struct burn_report {
  std::vector<burn_row> rows;
  size_t balancers_asked = 0;  ///< Number of balancers that were called.
  /** Number of balancers up for less than the longest window, 3 days. */
  size_t recently_started = 0;
  std::vector<std::string> unreachable;  ///< Addresses that did not answer.
};

/** @return The report as a table for a terminal. */
std::string report_to_text(const burn_report& report);

/** @return The report as JSON, for programs. */
Json::Value report_to_json(const burn_report& report);

/** @return The report as one HTML page with SVG charts. */
std::string report_to_html(const burn_report& report);

}  // namespace turmeric::cli

#endif  // TURMERIC_APPS_TURMERICSTREAM_BURN_PAGE_H_
