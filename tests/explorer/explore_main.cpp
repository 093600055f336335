/** @file explore_main.cpp Tries all orders of steps around a registry that
 * returns from an older copy, to a given depth, and random longer ones. */
#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>
#include <random>

#include "explored_world.h"

namespace turmeric::tests {
namespace {

constexpr const char* usage_text =
    "Usage: explore [--depth N] [--walks N] [--length N] [--seed N]\n"
    "               [--plant NAME]\n"
    "\n"
    "Explores two balancers and a registry that returns from an older copy, "
    "and\n"
    "prints the first order of steps that breaks an invariant. The exit code "
    "is\n"
    "1 if there is one.\n"
    "\n"
    "  -d, --depth N    all orders of up to N steps (5)\n"
    "  -w, --walks N    random orders beside these (1000)\n"
    "  -l, --length N   steps of a random order (25)\n"
    "  -s, --seed N     first seed of the random orders (1)\n"
    "  -p, --plant NAME inject this fault, which must be found: "
    "bare-revisions\n"
    "                   or eraless-peers\n";

struct command_line {
  size_t depth = 5;
  uint64_t walks = 1000;
  size_t length = 25;
  uint64_t seed = 1;
  explored_fault fault = explored_fault::none;
};

/** Results so far. */
struct exploration {
  uint64_t states = 0;
  std::vector<explored_step> path;
  std::string violation;

  /** @return Whether @p world shows a violation, which is recorded. */
  bool found(const explored_world& world) {
    violation = world.violation();
    return !violation.empty();
  }
};

/** @return Whether a violation was found at or below @p world. */
bool explore(const explored_world& world, size_t depth, exploration* out) {
  ++out->states;
  explored_world settled = world;
  settled.settle();
  if (out->found(settled))
    return true;
  if (depth == 0)
    return false;
  for (const explored_step step : world.enabled_steps()) {
    explored_world next = world;
    out->path.push_back(step);
    next.take(step);
    if (out->found(next) || explore(next, depth - 1, out))
      return true;
    out->path.pop_back();
  }
  return false;
}

/** @return Whether a random order of steps found a violation. */
bool walk(explored_world world,
          uint64_t seed,
          size_t length,
          exploration* out) {
  std::mt19937_64 random(seed);
  out->path.clear();
  for (size_t i = 0; i < length; ++i) {
    const auto steps = world.enabled_steps();
    out->path.push_back(steps[random() % steps.size()]);
    world.take(out->path.back());
    ++out->states;
    if (out->found(world))
      return true;
  }
  world.settle();
  return out->found(world);
}

/** @return Whether the invariants held. */
bool run(const command_line& line, bool second_reaches_registry) {
  explored_options options;
  options.second_reaches_registry = second_reaches_registry;
  options.fault = line.fault;
  const explored_world start(options);
  exploration result;
  bool broken = explore(start, line.depth, &result);
  uint64_t seed = line.seed;
  for (; !broken && seed < line.seed + line.walks; ++seed)
    broken = walk(start, seed, line.length, &result);
  fmt::print("second balancer {} the registry: {} states, {}\n",
             second_reaches_registry ? "reaches" : "does not reach",
             result.states, broken ? result.violation : "held");
  if (!broken)
    return true;
  for (const explored_step step : result.path)
    fmt::print("  {}\n", name_of(step));
  return false;
}

int main_of(int argc, char** argv) {
  const option options[] = {{"depth", required_argument, nullptr, 'd'},
                            {"walks", required_argument, nullptr, 'w'},
                            {"length", required_argument, nullptr, 'l'},
                            {"seed", required_argument, nullptr, 's'},
                            {"plant", required_argument, nullptr, 'p'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  command_line line;
  for (int c = 0;
       (c = getopt_long(argc, argv, "d:w:l:s:p:h", options, nullptr)) != -1;) {
    switch (c) {
      case 'd':
        line.depth = std::strtoull(optarg, nullptr, 10);
        break;
      case 'w':
        line.walks = std::strtoull(optarg, nullptr, 10);
        break;
      case 'l':
        line.length = std::strtoull(optarg, nullptr, 10);
        break;
      case 's':
        line.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'p':
        line.fault = explored_fault::end;
        for (int i = 0; i < static_cast<int>(explored_fault::end); ++i) {
          if (name_of(static_cast<explored_fault>(i)) == optarg)
            line.fault = static_cast<explored_fault>(i);
        }
        if (line.fault != explored_fault::end)
          break;
        [[fallthrough]];
      default:
        fmt::print(c == 'h' ? stdout : stderr, "{}", usage_text);
        return c == 'h' ? 0 : 2;
    }
  }
  const bool both_reach = run(line, true);
  const bool one_reaches = run(line, false);
  return both_reach && one_reaches ? 0 : 1;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::main_of(argc, argv);
}
