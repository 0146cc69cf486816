/// @file
#pragma once

#include <memory>
#include <urcu/urcu-memb.h>

namespace baobab {

/// Registers the current thread as an RCU reader while the object lives.
class RcuThreadRegistration
{
public:
  RcuThreadRegistration() { urcu_memb_register_thread(); }
  RcuThreadRegistration(const RcuThreadRegistration&) = delete;
  RcuThreadRegistration& operator=(const RcuThreadRegistration&) = delete;
  ~RcuThreadRegistration() { urcu_memb_unregister_thread(); }
};

/// A value that one writer replaces atomically while others read it, by
/// read-copy-update (RCU). Readers take no lock; a read section must not span a
/// fiber switch.
template<class T>
class RcuCell
{
public:
  RcuCell()
    : current(new T())
  {
  }

  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;
  ~RcuCell() { delete this->current; }

  /// Calls a function with the current value inside a read section. The
  /// function must not suspend the fiber; the thread must be registered.
  template<class F>
  auto Read(F&& aFunction) const
  {
    struct Section
    {
      Section() { urcu_memb_read_lock(); }
      ~Section() { urcu_memb_read_unlock(); }
    };
    const Section section;
    return aFunction(static_cast<const T&>(*rcu_dereference(this->current)));
  }

  /// Replaces the value; returns once no reader uses the old one.
  void Replace(std::unique_ptr<T> aNext)
  {
    T* old = this->current;
    rcu_assign_pointer(this->current, aNext.release());
    urcu_memb_synchronize_rcu();
    delete old;
  }

private:
  T* current;
};

}
