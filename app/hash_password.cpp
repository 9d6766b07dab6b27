// `cedarplank hash-password`: hashes the password of an SMPP client for the settings.
#include <cstdio>
#include <iostream>
#include <string>

#include "app/commands.hpp"
#include "sms/password.hpp"

namespace cedarplank::app {

void add_hash_password(CLI::App& app, RunCommand& run) {
  auto* command =
      app.add_subcommand("hash-password", "hash a password of an SMPP client, read from standard input");
  command->callback([&run] {
    run = [] {
      std::string password;
      std::getline(std::cin, password);
      // SMPP v3.4 section 4.1.1: a C-octet string of at most 9 octets, the terminating NUL included.
      if (password.empty() || password.size() > 8) {
        std::fprintf(stderr, "hash-password: expected 1 to 8 characters on standard input\n");
        return ExitCode::bad_input;
      }
      std::puts(sms::hash_password(password).c_str());
      return ExitCode::ok;
    };
  });
}

}  // namespace cedarplank::app
