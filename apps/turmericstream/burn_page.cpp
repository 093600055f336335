/** @file burn_page.cpp The burn report as text, JSON and HTML. */
#include "burn_page.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace turmeric::cli {
namespace {

constexpr std::array<const char*, 9> sparkline_levels = {
    " ", "▁", "▂", "▃", "▄", "▅", "▆", "▇", "█"};
/** Burn rate that is drawn with the full height: the highest alarm rate. */
constexpr double full_bar_burn_rate = 14.4;
constexpr int chart_width = 120;
constexpr int chart_height = 30;

/** @return One character for each value; its height shows the burn rate. */
std::string sparkline(const std::vector<double>& values) {
  std::string out;
  for (const double v : values) {
    const double height_share = std::clamp(v / full_bar_burn_rate, 0.0, 1.0);
    const auto level = static_cast<size_t>(
        height_share * (sparkline_levels.size() - 1) + 0.999);
    out += sparkline_levels[std::min(level, sparkline_levels.size() - 1)];
  }
  return out;
}

/** @return Lines on balancers whose counts are missing or cover less than 3
 * days; empty if there are none. */
std::string incomplete_data_notes(const burn_report& report) {
  std::string out;
  if (!report.unreachable.empty()) {
    out += fmt::format("missing: {} of {} balancers did not answer:",
                       report.unreachable.size(), report.balancers_asked);
    for (const auto& name : report.unreachable)
      out += " " + name;
    out += "\n";
  }
  if (report.recently_started > 0) {
    out += fmt::format(
        "partial: {} of {} balancers have been up for less than 3d; counts "
        "from before their restart are lost\n",
        report.recently_started, report.balancers_asked);
  }
  return out;
}

/** @return A bar chart; bars of a burn rate above 1 are red. */
std::string bar_chart_svg(const std::vector<double>& values) {
  std::string out =
      fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\">",
                  chart_width, chart_height);
  const double step =
      static_cast<double>(chart_width) / std::max<size_t>(values.size(), 1);
  for (size_t i = 0; i < values.size(); ++i) {
    const double height_share =
        std::clamp(values[i] / full_bar_burn_rate, 0.0, 1.0);
    const double height = std::max(height_share * chart_height, 1.0);
    out += fmt::format(
        "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
        "fill=\"{}\"/>",
        static_cast<double>(i) * step, chart_height - height, step - 1, height,
        values[i] > 1 ? "#c0392b" : "#2c7a51");
  }
  return out + "</svg>";
}

std::string escape_html(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '&')
      out += "&amp;";
    else
      out += c;
  }
  return out;
}

}  // namespace

std::string report_to_text(const burn_report& report) {
  std::string out = fmt::format(
      "{:<28}{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>8}{:>7}{:>7}  {:<12} {}\n",
      "service", "zone", "5m", "30m", "1h", "6h", "3d", "budget", "slow 1h",
      "broken", "imbal", "last hour", "alarm");
  for (const auto& row : report.rows) {
    const auto& all_windows = row.burn.windows;
    const burn_rates& hour =
        all_windows[static_cast<size_t>(burn_window::hour_1)];
    out +=
        fmt::format("{:<28}{:<16}", row.account + "/" + row.service, row.zone);
    for (const auto& window : all_windows)
      out += fmt::format("{:>8.2f}", window.availability);
    out += fmt::format("{:>8.0f}%{:>8.2f}{:>7}{:>7.2f}  [{}] {}\n",
                       row.burn.budget_left * 100, hour.latency,
                       hour.counts.broken_flows, row.imbalance,
                       sparkline(row.burn.recent), name_of(row.burn.alarm));
  }
  return out + incomplete_data_notes(report);
}

Json::Value report_to_json(const burn_report& report) {
  Json::Value v;
  v["rows"] = Json::arrayValue;
  for (const auto& row : report.rows) {
    Json::Value r;
    r["account"] = row.account;
    r["service"] = row.service;
    r["zone"] = row.zone;
    r["budget_left"] = row.burn.budget_left;
    r["imbalance"] = row.imbalance;
    r["alarm"] = std::string(name_of(row.burn.alarm));
    for (size_t i = 0; i < burn_window_count; ++i) {
      const burn_rates& rates = row.burn.windows[i];
      Json::Value& w =
          r["windows"][std::string(name_of(static_cast<burn_window>(i)))];
      w["availability_burn"] = rates.availability;
      w["latency_burn"] = rates.latency;
      w["answered"] = Json::UInt64(rates.counts.answered);
      w["refused"] = Json::UInt64(rates.counts.refused);
      w["unknown"] = Json::UInt64(rates.counts.unknown);
      w["broken_flows"] = Json::UInt64(rates.counts.broken_flows);
    }
    v["rows"].append(r);
  }
  v["balancers_asked"] = Json::UInt64(report.balancers_asked);
  v["balancers_young"] = Json::UInt64(report.recently_started);
  v["balancers_missing"] = Json::arrayValue;
  for (const auto& name : report.unreachable)
    v["balancers_missing"].append(name);
  return v;
}

std::string report_to_html(const burn_report& report) {
  std::string out =
      "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>"
      "<style>body{font:14px sans-serif;margin:2em}td,th{padding:4px 10px;"
      "text-align:right}th{background:#eee}td:first-child,td:nth-child(2)"
      "{text-align:left}.page{background:#f5b7b1}.ticket{background:#fdebd0}"
      "</style><h1>Service-level burn</h1><table><tr><th>service<th>zone";
  for (size_t i = 0; i < burn_window_count; ++i)
    out += fmt::format("<th>{}", name_of(static_cast<burn_window>(i)));
  out += "<th>budget left<th>imbalance<th>last hour<th>alarm</tr>";
  for (const auto& row : report.rows) {
    out += fmt::format("<tr class=\"{}\"><td>{}/{}<td>{}",
                       name_of(row.burn.alarm), escape_html(row.account),
                       escape_html(row.service), escape_html(row.zone));
    for (const auto& window : row.burn.windows)
      out += fmt::format("<td>{:.2f}", window.availability);
    out += fmt::format("<td>{:.0f}%<td>{:.2f}<td>{}<td>{}</tr>",
                       row.burn.budget_left * 100, row.imbalance,
                       bar_chart_svg(row.burn.recent), name_of(row.burn.alarm));
  }
  return out + "</table><p>" + escape_html(incomplete_data_notes(report)) +
         "</p>";
}

}  // namespace turmeric::cli
