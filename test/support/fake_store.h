// The platform's store in memory, with its faults: outage, stale reads and
// replies that are lost after the write took effect.
#ifndef JACINTHDECK_TEST_SUPPORT_FAKE_STORE_H_
#define JACINTHDECK_TEST_SUPPORT_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "jacinthdeck/cluster/store_call.h"

namespace jacinthdeck {

/*! \brief Faults that a test switches on and off. */
struct StoreFaults {
  //! Calls get no reply and have no effect.
  bool down = false;
  //! This many of the next writes take effect and their replies are lost.
  std::uint32_t lose_write_replies = 0;
  //! This many of the next writes are lost before they take effect.
  std::uint32_t lose_writes = 0;
  //! Reads answer from the state at FakeStore::FreezeReads().
  bool stale_reads = false;
};

/*! \brief Store whose calls end at once; the harness adds the delays. */
class FakeStore {
 public:
  [[nodiscard]] StoreFaults& faults() noexcept { return m_faults; }
  [[nodiscard]] std::uint64_t reads() const noexcept { return m_reads; }
  [[nodiscard]] std::uint64_t writes() const noexcept { return m_writes; }
  [[nodiscard]] std::uint64_t calls() const noexcept { return m_calls; }

  /*! \brief Value of a key; empty if it does not exist. */
  [[nodiscard]] std::string ValueOf(const std::string& key) const;

  /*! \brief From now on reads are stale, if that fault is on. */
  void FreezeReads() { m_frozen = m_items; }

  /*! \brief Removes a key, as an operator's mistake would. */
  void Erase(const std::string& key) { m_items.erase(key); }

  /*! \brief Carries out one call and counts it, also in an outage. */
  [[nodiscard]] StoreReply Call(const StoreRequest& request);

 private:
  using Items = std::map<std::string, StoreItem>;

  void Read(const StoreRequest& request, StoreReply& reply) const;
  void List(const StoreRequest& request, StoreReply& reply) const;
  void Write(const StoreRequest& request, StoreReply& reply);

  StoreFaults m_faults;
  Items m_items;
  Items m_frozen;
  std::uint64_t m_next_revision = 1;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_calls = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_SUPPORT_FAKE_STORE_H_
