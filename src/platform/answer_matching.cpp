#include "platform/answer_matching.hpp"

#include <algorithm>

#include "platform/semantics.hpp"

namespace cedarplank::platform {
namespace {

constexpr int kOk = 200;

AnswerMatch match_ids(const http1::Message& answer, std::vector<std::string> called) {
  if (answer.status != kOk) return AnswerMatch::unproved;
  std::vector<std::string> named = ids_in_answer(answer);
  std::sort(called.begin(), called.end());
  std::sort(named.begin(), named.end());
  named.erase(std::unique(named.begin(), named.end()), named.end());
  if (named == called) return AnswerMatch::own;
  std::vector<std::string> common;
  std::set_intersection(named.begin(), named.end(), called.begin(), called.end(), std::back_inserter(common));
  return common.empty() ? AnswerMatch::foreign : AnswerMatch::unproved;
}

}  // namespace

AnswerProof choose_proof(bool first, bool may_repeat, bool ids_prove) {
  if (first) return AnswerProof::first_on_connection;
  return may_repeat && ids_prove ? AnswerProof::message_ids : AnswerProof::close_confirmed;
}

AnswerMatch match_answer(AnswerProof proof, const http1::Message& answer,
                         const std::vector<std::string>& ids) {
  switch (proof) {
    case AnswerProof::first_on_connection:
      return AnswerMatch::own;
    case AnswerProof::close_confirmed:
      return answer.close ? AnswerMatch::own : AnswerMatch::foreign;
    case AnswerProof::message_ids:
      return match_ids(answer, ids);
  }
  return AnswerMatch::foreign;
}

}  // namespace cedarplank::platform
