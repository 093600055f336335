/** @file bench_common.cpp Clock, memory use and fixtures. */
#include "bench_common.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>

#include "turmeric/state/config_key_func.h"

namespace turmeric::bench {

double thread_cpu_seconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

double allocated_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

line_fit fit_line(const double* x, const double* y, size_t count) {
  double sum_x = 0, sum_y = 0, sum_xx = 0, sum_xy = 0;
  for (size_t i = 0; i < count; ++i) {
    sum_x += x[i];
    sum_y += y[i];
    sum_xx += x[i] * x[i];
    sum_xy += x[i] * y[i];
  }
  const auto n = static_cast<double>(count);
  line_fit line;
  line.slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  line.intercept = (sum_y - line.slope * sum_x) / n;
  for (size_t i = 0; i < count; ++i) {
    const double deviation =
        std::abs(line.slope * x[i] + line.intercept - y[i]);
    line.max_relative_error =
        std::max(line.max_relative_error, deviation / std::max(y[i], 1e-12));
  }
  return line;
}

service_config make_service(int service_number, int targets, int zones) {
  service_config s;
  s.account = "account" + std::to_string(service_number / 4);
  s.name = "service" + std::to_string(service_number);
  s.id = id_of<service_id>(full_name(s));
  for (int i = 0; i < targets; ++i) {
    target_config t;
    t.name = full_name(s) + "/t" + std::to_string(i);
    t.id = id_of<target_id>(t.name);
    t.zone_name = "zone" + std::to_string((service_number + i) % zones);
    t.zone = id_of<zone_id>(t.zone_name);
    t.address = {0x7f000001, static_cast<uint16_t>(1024 + i)};
    s.targets.push_back(std::move(t));
  }
  return s;
}

config_state make_config_state(int min_targets,
                               int targets_per_service,
                               int zones) {
  config_state state;
  config_change c;
  c.number = 1;
  for (int i = 0; i * targets_per_service < min_targets; ++i) {
    const service_config s = make_service(i, targets_per_service, zones);
    c.entries.push_back(
        {make_key(key_kind::service, full_name(s)), to_json(s), 0});
  }
  state.apply(c);
  return state;
}

std::shared_ptr<route_table> make_route_table(
    std::shared_ptr<const service_index> index,
    int member_count,
    int self_index) {
  auto table = std::make_shared<route_table>();
  table->index = index;
  table->announced = std::move(index);
  for (int i = 0; i < member_count; ++i) {
    member_record m;
    m.name = "balancer" + std::to_string(i);
    m.id = id_of<member_id>(m.name);
    m.zone = id_of<zone_id>("zone0");
    m.incarnation = 1;
    m.peer = {0x0a000000u + static_cast<uint32_t>(i), 2};
    table->members.push_back(m);
    if (i == self_index)
      table->self = m;
  }
  return table;
}

}  // namespace turmeric::bench
