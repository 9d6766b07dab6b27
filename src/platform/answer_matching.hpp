// Decides which call an endpoint's answer belongs to. HTTP/1.1 has no identifier that ties an answer to its
// request: on a connection that has carried a call before, an answer may be a second copy of an earlier one,
// or an answer whose place such a copy took. So every call has a proof by which its own answer is recognized.
// Free of I/O and state.
#pragma once

#include <string>
#include <vector>

#include "http1/message.hpp"

namespace cedarplank::platform {

// What proves that an answer is the call's own.
enum class AnswerProof {
  first_on_connection,  // the connection has carried no other call
  message_ids,          // a bulk answer names just the messages of the call
  // The call is the connection's last: it asks to close the connection, and its answer confirms that (RFC
  // 9112 section 9.6). No earlier answer did, or the connection would have ended.
  close_confirmed
};

// `first`: the connection has carried no other call. `may_repeat`: all messages of the call may run more than
// once. `ids_prove`: the endpoint takes bulk calls, and the connection has carried none of the messages.
// Where only message ids prove an answer, a refusal is not proved, since it names no message; so that proof
// is for messages that may repeat.
AnswerProof choose_proof(bool first, bool may_repeat, bool ids_prove);

enum class AnswerMatch {
  own,       // the call's own answer
  unproved,  // may be the call's own: proves neither that a message was delivered nor that none has run
  foreign    // belongs to no call that is out
};

// `answer`: complete, or with a complete head. `ids`: the client ids of the call's messages.
AnswerMatch match_answer(AnswerProof proof, const http1::Message& answer,
                         const std::vector<std::string>& ids);

}  // namespace cedarplank::platform
