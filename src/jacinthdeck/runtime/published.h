// A value that one thread replaces and others read.
#ifndef JACINTHDECK_RUNTIME_PUBLISHED_H_
#define JACINTHDECK_RUNTIME_PUBLISHED_H_

#include <memory>
#include <mutex>
#include <utility>

namespace jacinthdeck {

/*! \brief Holder of a shared immutable value. */
template <typename T>
class Published {
 public:
  /*! \brief Gives the present value, which may be null. */
  [[nodiscard]] std::shared_ptr<const T> Get() const {
    const std::scoped_lock lock(m_mutex);
    return m_value;
  }

  /*! \brief Replaces the value. */
  void Set(std::shared_ptr<const T> value) {
    const std::scoped_lock lock(m_mutex);
    m_value = std::move(value);
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const T> m_value;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_PUBLISHED_H_
