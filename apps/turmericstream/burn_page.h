/** @file burn_page.h The burn report as text, JSON and HTML. */
#ifndef TURMERIC_APPS_TURMERICSTREAM_BURN_PAGE_H_
#define TURMERIC_APPS_TURMERICSTREAM_BURN_PAGE_H_

#include <json/json.h>

#include <string>
#include <vector>

#include "turmeric/coordination/burn_func.h"

namespace turmeric::cli {

/** A service in an availability zone. */
struct burn_row {
  std::string account;
  std::string service;
  std::string zone;
  burn_result burn;
  double imbalance = 0;  ///< Of the whole service; see imbalance_of().
};

/** The whole report. */
struct burn_report {
  std::vector<burn_row> rows;
  size_t asked = 0;                  ///< Balancers asked.
  size_t young = 0;                  ///< Those up for less than the windows.
  std::vector<std::string> missing;  ///< Those that did not answer.
};

/** @return The report for a terminal. */
std::string report_to_text(const burn_report& report);

/** @return The report for programs. */
Json::Value report_to_json(const burn_report& report);

/** @return The report as one HTML page with SVG charts. */
std::string report_to_html(const burn_report& report);

}  // namespace turmeric::cli

#endif  // TURMERIC_APPS_TURMERICSTREAM_BURN_PAGE_H_
