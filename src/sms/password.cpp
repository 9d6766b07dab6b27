#include "sms/password.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <charconv>
#include <stdexcept>
#include <vector>

namespace cedarplank::sms {
namespace {

constexpr std::size_t kSaltBytes = 16, kHashBytes = 32;

std::string to_hex(const std::string& bytes) {
  std::string out;
  for (const unsigned char c : bytes) out += "0123456789abcdef"[c >> 4], out += "0123456789abcdef"[c & 15];
  return out;
}
std::string from_hex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    unsigned v = 0;
    const auto [end, error] = std::from_chars(text.data() + i, text.data() + i + 2, v, 16);
    if (error != std::errc() || end != text.data() + i + 2)
      throw std::invalid_argument("password hash: salt and hash must be hexadecimal");
    out += static_cast<char>(v);
  }
  return out;
}
std::string random_bytes(std::size_t n) {
  std::string out(n, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(n)) != 1)
    throw std::runtime_error("the random number generator failed");
  return out;
}
std::string derive_key(const std::string& password, const std::string& salt, int iterations) {
  std::string out(kHashBytes, '\0');
  if (PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()),
                        reinterpret_cast<const unsigned char*>(salt.data()), static_cast<int>(salt.size()),
                        iterations, EVP_sha256(), static_cast<int>(kHashBytes),
                        reinterpret_cast<unsigned char*>(out.data())) != 1)
    throw std::runtime_error("PBKDF2 failed");
  return out;
}
// Compares in constant time.
bool equal(const std::string& a, const std::string& b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string hash_password(const std::string& password, int iterations) {
  const auto salt = random_bytes(kSaltBytes);
  return "pbkdf2-sha256$" + std::to_string(iterations) + "$" + to_hex(salt) + "$" +
         to_hex(derive_key(password, salt, iterations));
}

bool matches_hash(const std::string& password, const std::string& hash) {
  std::vector<std::string> parts(1);
  for (const char c : hash) {
    if (c == '$')
      parts.emplace_back();
    else
      parts.back() += c;
  }
  int iterations = 0;
  if (parts.size() == 4) std::from_chars(parts[1].data(), parts[1].data() + parts[1].size(), iterations);
  if (parts.size() != 4 || parts[0] != "pbkdf2-sha256" || iterations < 1 || iterations > 10'000'000 ||
      parts[3].size() != 2 * kHashBytes)
    throw std::invalid_argument("malformed password hash; create one with 'cedarplank hash-password'");
  return equal(derive_key(password, from_hex(parts[2]), iterations), from_hex(parts[3]));
}

PasswordVerifier::PasswordVerifier() : key_(random_bytes(32)) {}

std::string PasswordVerifier::digest(const std::string& system_id, const std::string& password,
                                     const std::string& hash) const {
  const std::string all = system_id + '\0' + password + '\0' + hash;
  unsigned char out[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(all.data()), all.size(), out, &size);
  return {reinterpret_cast<char*>(out), size};
}

bool PasswordVerifier::is_cached(const std::string& system_id, const std::string& password,
                                 const std::string& hash) const {
  const auto it = verified_.find(system_id);
  return it != verified_.end() && equal(it->second, digest(system_id, password, hash));
}

bool PasswordVerifier::verify(const std::string& system_id, const std::string& password,
                              const std::string& hash) {
  if (is_cached(system_id, password, hash)) return true;
  if (!matches_hash(password, hash)) return false;
  verified_[system_id] = digest(system_id, password, hash);
  return true;
}

}  // namespace cedarplank::sms
