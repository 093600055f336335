/** @file soak_process.cpp Start and stop of a balancer process. */
#include "soak_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

extern char** environ;

namespace turmeric::tests {

void balancer_process::start() {
  if (pid_ != 0)
    return;
  const std::string log_path = settings_ + ".log";
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO,
                                   log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string settings_flag = "--settings";
  char* arguments[] = {daemon_.data(), settings_flag.data(), settings_.data(),
                       nullptr};
  if (posix_spawn(&pid_, daemon_.c_str(), &file_actions, nullptr, arguments,
                  environ) != 0) {
    fmt::print(stderr, "soak: cannot start the balancer program {}\n", daemon_);
    std::exit(3);
  }
  posix_spawn_file_actions_destroy(&file_actions);
}

void balancer_process::send_signal(int number) {
  if (pid_ != 0)
    kill(pid_, number);
}

bool balancer_process::has_exited() {
  if (pid_ != 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_)
    pid_ = 0;
  return pid_ == 0;
}

std::string balancer_process::exit_fault() const {
  if (WIFEXITED(exit_status_)) {
    return WEXITSTATUS(exit_status_) == 0
               ? ""
               : fmt::format("exit code {}", WEXITSTATUS(exit_status_));
  }
  // A process that has just started may not handle SIGTERM and SIGHUP yet.
  const int number = WTERMSIG(exit_status_);
  return number == SIGKILL || number == SIGTERM || number == SIGHUP
             ? ""
             : fmt::format("signal {}", number);
}

void balancer_process::kill_and_wait() {
  if (pid_ == 0)
    return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

}  // namespace turmeric::tests
