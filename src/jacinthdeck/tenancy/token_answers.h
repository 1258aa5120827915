// An allocator's last answers to one host, so that none counts twice.
#ifndef JACINTHDECK_TENANCY_TOKEN_ANSWERS_H_
#define JACINTHDECK_TENANCY_TOKEN_ANSWERS_H_

#include <cstdint>
#include <deque>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/tenancy/rate_message.h"

namespace jacinthdeck {

/*! \brief Answers to the token requests of one host. A request that arrives
 * again gets the same answer. */
class TokenAnswers {
 public:
  /*! \brief Whether a request has been seen. */
  enum class Seen {
    kNew,
    //! Find() returns its answer.
    kAnswered,
    //! Its answer is forgotten, or an earlier process of the host sent it.
    kOld,
  };

  /*! \brief Looks up a request and forgets old answers. */
  [[nodiscard]] Seen Check(const TokenRequest& request, TimePoint now);

  /*! \brief Returns the answer to a request that Check() found answered. */
  [[nodiscard]] const TokenGrant& Find(std::uint64_t number) const;

  /*! \brief Keeps an answer. */
  void Add(TokenGrant grant, TimePoint now);

  /*! \brief Returns whether the host has asked nothing for a long time. */
  [[nodiscard]] bool IsIdle(TimePoint now) const;

 private:
  struct Answer {
    TokenGrant grant;
    TimePoint sent;
  };

  void Forget(TimePoint now);

  std::uint64_t m_started_ms = 0;
  TimePoint m_last = TimePoint::min();
  //! In the order in which they were sent.
  std::deque<Answer> m_answers;
  //! Requests up to this number are old unless they are in m_answers.
  std::uint64_t m_forgotten = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_TOKEN_ANSWERS_H_
