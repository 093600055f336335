/** @file admission_load_test.cpp Admission in a model of balancers and targets
 * under loads below and above their capacity. */
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <random>

#include "turmeric/coordination/overload/admission_base.h"

namespace turmeric {
namespace {

constexpr time_us ms = us_per_ms;
constexpr time_us objective = 200 * ms;
constexpr time_us work_of[] = {20 * ms, 15 * ms};  ///< By priority.
constexpr uint64_t first_priority_permille = 300;  ///< Of the requests.
constexpr size_t slots = 2;
constexpr size_t queue_bound = 8;
constexpr int max_attempts = 3;
constexpr time_us hop = ms / 2;
constexpr time_us observation = 100 * ms;  ///< Width of a bin of the figures.

struct tally {
  std::array<int, 2> requests{};  ///< By priority.
  std::array<int, 2> in_time{};
  int attempts = 0;
  int refused = 0;   ///< Attempts, by balancers.
  int rejected = 0;  ///< Attempts, by full targets.
  time_us longest_wait = 0;

  double share(size_t priority) const {
    return 1.0 * in_time[priority] / std::max(requests[priority], 1);
  }
  /** Slot time of the requests served in time. */
  double work() const {
    return 1.0 * in_time[0] * work_of[0] + 1.0 * in_time[1] * work_of[1];
  }
};

class load_model {
 public:
  load_model(size_t balancers, size_t targets, uint64_t seed)
      : targets_(targets), random_(seed) {
    admission_options options;
    options.enabled = true;
    for (size_t i = 0; i < balancers; ++i)
      balancers_.emplace_back(options, targets);
  }

  /** Runs at @p load, in multiples of the capacity, for @p duration. */
  void run(double load, time_us duration) {
    const double first_priority_share = first_priority_permille / 1000.0;
    const double mean_work = first_priority_share * work_of[0] +
                             (1.0 - first_priority_share) * work_of[1];
    const double mean_gap =
        mean_work / static_cast<double>(slots * targets_.size()) / load;
    const time_us end = now_ + duration;
    for (time_us at = now_ + gap(mean_gap); at < end; at += gap(mean_gap))
      events_.emplace(at, [this] { arrive(); });
    while (!events_.empty() && events_.begin()->first < end) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    now_ = end;
  }

  /** @return The figures of the requests that arrived from @p begin on, and
   * before @p end; attempts by their own time. */
  tally between(time_us begin, time_us end) const {
    tally sum;
    for (auto it = bins_.lower_bound(begin / observation);
         it != bins_.lower_bound(end / observation); ++it) {
      const tally& t = it->second;
      for (size_t p = 0; p < 2; ++p) {
        sum.requests[p] += t.requests[p];
        sum.in_time[p] += t.in_time[p];
      }
      sum.attempts += t.attempts;
      sum.refused += t.refused;
      sum.rejected += t.rejected;
      sum.longest_wait = std::max(sum.longest_wait, t.longest_wait);
    }
    return sum;
  }

  time_us now() const { return now_; }

 private:
  struct request {
    size_t priority = 0;
    time_us issued = 0;
    time_us attempted = 0;
    int attempts = 0;
  };

  struct flow {
    uint64_t request = 0;
    size_t balancer = 0;
    time_us started = 0;
  };

  struct target {
    size_t busy = 0;
    std::vector<flow> queue;
  };

  struct balancer {
    balancer(const admission_options& options, size_t targets)
        : part(options), flows(targets) {}
    admission part;
    load_monitor monitor{load_monitor_options{}};
    std::vector<int> flows;  ///< By target.
  };

  uint64_t draw(uint64_t below) { return random_() % below; }

  time_us gap(double mean) {
    const double u = (static_cast<double>(random_() >> 11) + 1.0) * 0x1p-53;
    return static_cast<time_us>(-std::log(u) * mean);
  }

  tally& bin(time_us at) { return bins_[at / observation]; }

  void arrive() {
    const uint64_t number = ++last_request_;
    request r;
    r.priority = draw(1000) < first_priority_permille ? 0 : 1;
    r.issued = now_;
    ++bin(now_).requests[r.priority];
    requests_[number] = r;
    attempt(number);
  }

  void attempt(uint64_t number) {
    request& r = requests_.at(number);
    r.attempted = now_;
    ++r.attempts;
    ++bin(now_).attempts;
    const size_t b = draw(balancers_.size());
    waiting_opening o;
    o.opening.source = {static_cast<uint32_t>(number), 1};
    o.opening.sequence = static_cast<uint32_t>(number);
    o.priority = static_cast<uint32_t>(r.priority);
    o.highest_priority = r.priority == 0;
    o.latency_objective = objective;
    balancer& at = balancers_[b];
    const auto verdict =
        at.part.on_opening(now_, "notes", o, at.monitor.load(now_, "notes"));
    decide(number, b, verdict);
    release(b);
  }

  void decide(uint64_t number, size_t b, admission_verdict verdict) {
    if (verdict == admission_verdict::admit)
      start(number, b);
    if (verdict != admission_verdict::refuse)
      return;
    tally& t = bin(now_);
    ++t.refused;
    t.longest_wait =
        std::max(t.longest_wait, now_ - requests_.at(number).attempted);
    retry(number);
  }

  void release(size_t b) {
    admission& part = balancers_[b].part;
    for (const auto& r : part.take_released(now_))
      decide(r.opening.sequence, b, r.verdict);
    if (part.next_due() != INT64_MAX)
      events_.emplace(std::max(part.next_due(), now_ + 1),
                      [this, b] { release_if_due(b); });
  }

  void release_if_due(size_t b) {
    if (balancers_[b].part.next_due() <= now_)
      release(b);
  }

  void retry(uint64_t number) {
    if (requests_.at(number).attempts < max_attempts)
      events_.emplace(now_ + 2 * hop, [this, number] { attempt(number); });
    else
      requests_.erase(number);
  }

  /** Sends the flow to the target with the fewest flows of this balancer. */
  void start(uint64_t number, size_t b) {
    balancer& at = balancers_[b];
    size_t best = draw(targets_.size());
    for (size_t i = 0; i < targets_.size(); ++i) {
      const size_t t = (best + i) % targets_.size();
      if (at.flows[t] < at.flows[best])
        best = t;
    }
    ++at.flows[best];
    at.part.on_started(now_, "notes");
    const flow f{number, b, now_};
    events_.emplace(now_ + hop, [this, best, f] { reach_target(best, f); });
  }

  void reach_target(size_t t, const flow& f) {
    target& to = targets_[t];
    if (to.busy < slots) {
      work(t, f);
    } else if (to.queue.size() < queue_bound) {
      to.queue.push_back(f);
    } else {
      ++bin(now_).rejected;
      // The balancer ends the wait for a response after 40 ms.
      events_.emplace(now_ + 40 * ms, [this, t, f] { miss_answer(t, f); });
      retry(f.request);
    }
  }

  void work(size_t t, const flow& f) {
    ++targets_[t].busy;
    const time_us mean = work_of[requests_.at(f.request).priority];
    // Uniform within half of the mean.
    const time_us took =
        mean / 2 + static_cast<time_us>(draw(static_cast<uint64_t>(mean)));
    events_.emplace(now_ + took, [this, t, f] { complete(t, f); });
  }

  void complete(size_t t, const flow& f) {
    target& at = targets_[t];
    --at.busy;
    if (!at.queue.empty()) {
      const flow next = at.queue.front();
      at.queue.erase(at.queue.begin());
      work(t, next);
    }
    const request r = requests_.at(f.request);
    requests_.erase(f.request);
    if (now_ + hop - r.issued <= objective)
      ++bin(r.issued).in_time[r.priority];
    events_.emplace(now_ + 2 * hop, [this, t, f, r] { answer(t, f, r); });
  }

  void answer(size_t t, const flow& f, const request& r) {
    balancer& at = balancers_[f.balancer];
    const endpoint route{1000, static_cast<uint16_t>(80 + r.priority)};
    at.monitor.add(now_, "notes", route, now_ - f.started);
    at.part.on_outcome(now_, "notes", at.monitor.load(now_, "notes"), true);
    finish(t, f);
  }

  void miss_answer(size_t t, const flow& f) {
    balancer& at = balancers_[f.balancer];
    at.monitor.add_reset(now_, "notes");
    at.part.on_outcome(now_, "notes", at.monitor.load(now_, "notes"), false);
    finish(t, f);
  }

  void finish(size_t t, const flow& f) {
    --balancers_[f.balancer].flows[t];
    balancers_[f.balancer].part.on_finished(now_, "notes");
    release(f.balancer);
  }

  std::vector<target> targets_;
  std::vector<balancer> balancers_;
  std::multimap<time_us, std::function<void()>> events_;
  std::map<uint64_t, request> requests_;
  std::map<time_us, tally> bins_;
  std::mt19937_64 random_;
  uint64_t last_request_ = 0;
  time_us now_ = 10 * us_per_s;
};

constexpr time_us warm_up = 10 * us_per_s;
constexpr time_us overload_time = 10 * us_per_s;
constexpr time_us recovery = 10 * us_per_s;

struct figures {
  tally before;  ///< At half the capacity.
  tally whole;   ///< The overload.
  tally steady;  ///< From 1 s after its start, when limits are set.
  tally after;   ///< From 2 s after its end, at half the capacity.
};

figures play(size_t balancers, size_t targets, double load, uint64_t seed) {
  load_model model(balancers, targets, seed);
  const time_us t0 = model.now();
  model.run(0.5, warm_up);
  const time_us begin = model.now();
  model.run(load, overload_time);
  const time_us end = model.now();
  model.run(0.5, recovery);
  figures f;
  f.before = model.between(t0, begin);
  f.whole = model.between(begin, end);
  f.steady = model.between(begin + us_per_s, end);
  f.after = model.between(end + 2 * us_per_s, model.now());
  const double capacity =
      static_cast<double>(slots * targets) * static_cast<double>(overload_time);
  const tally& w = f.whole;
  BOOST_TEST_MESSAGE(
      balancers << " balancers, " << targets << " targets, load " << load
                << ", seed " << seed << ": in time " << w.share(0) << " and "
                << w.share(1) << ", from 1 s on " << f.steady.share(0)
                << " and " << f.steady.share(1) << ", work in time "
                << w.work() / capacity << " of the capacity, attempts "
                << w.attempts << ", refused " << w.refused << " in "
                << w.longest_wait / ms << " ms at most, rejected " << w.rejected
                << "; refused before " << f.before.refused << ", after "
                << f.after.refused);
  return f;
}

struct fleet_row {
  size_t balancers;
  size_t targets;
};

const fleet_row fleets[] = {{1, 6}, {4, 12}, {16, 24}, {64, 24}};
constexpr uint64_t seeds = 3;

void check_first_priority(const fleet_row& fleet) {
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    BOOST_TEST_CONTEXT(fleet.balancers << " balancers, seed " << seed) {
      const figures f = play(fleet.balancers, fleet.targets, 2.0, seed);
      BOOST_TEST(f.whole.share(0) >= 0.99);
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_suite)

// Guards against capacity lost to work that is too late, against refusals that
// come late, against a limit that refuses openings when the load fits the
// targets, and against limits of many balancers that swing together and fill
// the targets again and again.
BOOST_AUTO_TEST_CASE(overload_is_shed) {
  for (const auto& fleet : fleets) {
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      BOOST_TEST_CONTEXT(fleet.balancers << " balancers, seed " << seed) {
        std::map<double, figures> by_load;
        for (const double load : {0.5, 1.0, 1.2, 2.0, 5.0})
          by_load[load] = play(fleet.balancers, fleet.targets, load, seed);
        // Work, since the mix changes: the first priority takes longer.
        const double normal_work = by_load[1.0].whole.work();
        BOOST_TEST(by_load[2.0].whole.work() >= normal_work);
        BOOST_TEST(by_load[5.0].whole.work() >= normal_work);
        BOOST_TEST(by_load[0.5].whole.refused == 0);
        BOOST_TEST(by_load[1.2].steady.share(0) >= 0.99);
        BOOST_TEST(by_load[2.0].steady.share(0) >= 0.99);
        for (const auto& item : by_load) {
          BOOST_TEST_CONTEXT("load " << item.first) {
            BOOST_TEST(item.second.before.refused == 0);
            BOOST_TEST(item.second.whole.longest_wait <= 50 * ms);
            BOOST_TEST(item.second.after.refused == 0);
          }
        }
      }
    }
  }
}

// Guards against overload that costs the first priority its objective: at its
// start, no limit is set, and full targets reject openings of any priority.
BOOST_AUTO_TEST_CASE(first_priority_is_in_time_from_the_start) {
  for (const auto& fleet : fleets) {
    if (fleet.balancers <= 16)
      check_first_priority(fleet);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// A suite of its own, since KNOWN-RED.txt lists suites.
BOOST_AUTO_TEST_SUITE(admission_large_suite)

// The same where each balancer gets few responses that would show the overload.
BOOST_AUTO_TEST_CASE(first_priority_is_in_time_from_the_start_in_large_fleets) {
  for (const auto& fleet : fleets) {
    if (fleet.balancers > 16)
      check_first_priority(fleet);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
