// Passwords of SMPP clients, which the settings hold as hashes (PBKDF2-HMAC-SHA-256, RFC 8018, by OpenSSL).
#pragma once

#include <map>
#include <string>

namespace cedarplank::sms {

constexpr int kPbkdf2Iterations = 20'000;

// "pbkdf2-sha256$<iterations>$<salt>$<hash>" with a new random salt; salt and hash are hexadecimal.
std::string hash_password(const std::string& password, int iterations = kPbkdf2Iterations);
// Whether the password is the one that was hashed. Throws std::invalid_argument where the hash is malformed.
bool matches_hash(const std::string& password, const std::string& hash);

// Verifies passwords and caches the ones that were right, so that a client that binds again needs no PBKDF2.
// The cache holds HMACs under a random key that never leaves the process.
class PasswordVerifier {
 public:
  PasswordVerifier();
  // Whether this password was verified against this hash before. Cheap: computes no PBKDF2.
  bool is_cached(const std::string& system_id, const std::string& password, const std::string& hash) const;
  // Verifies the password, from the cache or by PBKDF2, and caches it where it is right.
  bool verify(const std::string& system_id, const std::string& password, const std::string& hash);

 private:
  std::string digest(const std::string& system_id, const std::string& password,
                     const std::string& hash) const;
  std::string key_;
  std::map<std::string, std::string> verified_;  // by system_id
};

}  // namespace cedarplank::sms
