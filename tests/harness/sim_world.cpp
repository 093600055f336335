/** @file sim_world.cpp Network and timing of the simulated cluster. */
#include "sim_world.h"

namespace turmeric::tests {
namespace {

constexpr time_us local_delay = 200;          // one way, within a zone
constexpr time_us zone_delay = 1500;          // one way, between zones
constexpr time_us outside_delay = us_per_ms;  // one way, to and from callers
/** Callers submit nothing new for this long before the end of the run, so that
 * all requests can finish. */
constexpr time_us completion_time = 5 * us_per_s;

}  // namespace

sim_world::sim_world(sim_options options)
    : options_(std::move(options)), random_(options_.seed) {}

sim_world::~sim_world() = default;

time_us sim_world::delay(int from_zone, int to_zone) {
  time_us base = from_zone == to_zone ? local_delay : zone_delay;
  if (from_zone == outside_zone || to_zone == outside_zone)
    base = outside_delay;
  const auto jitter = static_cast<uint64_t>(options_.max_jitter);
  return base + static_cast<time_us>(random() % (jitter + 1));
}

bool sim_world::cut(int from_zone, int to_zone) const {
  return cuts_.count({from_zone, to_zone}) > 0;
}

void sim_world::transmit(int from_zone,
                         int to_zone,
                         const std::function<void()>& fn) {
  if (cut(from_zone, to_zone) || chance(options_.loss_percent))
    return;
  clock_.after(delay(from_zone, to_zone), fn);
  if (chance(options_.duplicate_percent))
    clock_.after(delay(from_zone, to_zone) * 3, fn);
}

void sim_world::record(history_event event) {
  event.at = clock_.now();
  history_.push_back(std::move(event));
}

void sim_world::deliver(int number, uint64_t generation, sim_clock::event fn) {
  balancer& b = *balancers_[static_cast<size_t>(number)];
  if (!b.alive || b.generation != generation)
    return;
  if (b.frozen)
    b.backlog.push_back(std::move(fn));
  else
    fn();
}

void sim_world::record_disturbance(int number, bool disturbed) {
  history_event e;
  e.kind =
      disturbed ? event_kind::disturbance_began : event_kind::disturbance_ended;
  e.balancer = number;
  record(e);
}

const history& sim_world::run() {
  for (int i = 0; i < balancer_count; ++i) {
    balancers_.push_back(std::make_unique<balancer>());
    balancers_.back()->number = i;
    balancers_.back()->zone = i % zone_count;
  }
  for (int i = 0; i < options_.notes_target_count; ++i)
    add_target("club/notes", i % zone_count, true);
  for (int i = 0; i < 3; ++i)
    add_target("club/archive", i % zone_count, true);
  commit_declarations();
  for (int i = 0; i < balancer_count; ++i)
    start_balancer(i);
  start_callers();
  for (const fault& f : options_.faults)
    clock_.after(f.at, [this, f] { apply_fault(f); });
  clock_.after(options_.length - completion_time,
               [this] { sending_ended_ = true; });
  clock_.run_until(options_.length);
  return history_;
}

history simulate(const sim_options& options) {
  sim_world world(options);
  return world.run();
}

}  // namespace turmeric::tests
