/** @file soak_process.h Owner of one balancer process under test. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_PROCESS_H_
#define TURMERIC_TESTS_SOAK_SOAK_PROCESS_H_

#include <sys/types.h>

#include <string>

namespace turmeric::tests {

/** A balancer process that can be restarted. */
class balancer_process {
 public:
  balancer_process(std::string daemon, std::string settings)
      : daemon_(std::move(daemon)), settings_(std::move(settings)) {}
  ~balancer_process() { kill_and_wait(); }
  balancer_process(const balancer_process&) = delete;
  balancer_process& operator=(const balancer_process&) = delete;

  /** Starts the process unless it runs; its output is appended to a log file
   * beside the settings. */
  void start();

  void send_signal(int number);

  /** Sets the program of later starts. */
  void set_daemon(const std::string& daemon) { daemon_ = daemon; }

  /** @return The process id; 0 if the process does not run. */
  pid_t pid() const { return pid_; }

  /** @return Whether the process does not run; reaps it if it has exited. */
  bool has_exited();

  /** @return Why the last exit was a fault, in words; empty if it was by
   * request or by a signal that ends processes. */
  std::string exit_fault() const;

  /** Kills the process, also if it is stopped, and waits for its exit. */
  void kill_and_wait();

 private:
  std::string daemon_;
  std::string settings_;
  pid_t pid_ = 0;
  int exit_status_ = 0;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_PROCESS_H_
