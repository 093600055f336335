/** @file requests_mode.h Entry point of the module with the requests mode. */
#ifndef TURMERICD_REQUESTS_MODE_H_
#define TURMERICD_REQUESTS_MODE_H_

/** File name of the module, in the directory of the daemon. */
constexpr const char* requests_module_file = "turmericd_requests.so";
/** Symbol of turmericd_run_requests() in the module, for dlsym(). */
constexpr const char* requests_entry_symbol = "turmericd_run_requests";

/** Runs one balancer in the requests mode until SIGTERM, SIGINT or a drain by
 * operators.
 * @return The exit code. */
extern "C" int turmericd_run_requests(const char* settings_path);

#endif  // TURMERICD_REQUESTS_MODE_H_
