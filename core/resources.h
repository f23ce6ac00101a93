#pragma once

namespace sequoiastand
{

/// Capacity of a target, or the part of it that a task needs.
struct Resources
{
    int milliCpu = 0;
    int memoryMb = 0;
    int accelerators = 0;

    friend bool operator==(const Resources &, const Resources &) = default;
};

constexpr Resources operator+(const Resources &left, const Resources &right)
{
    return {left.milliCpu + right.milliCpu, left.memoryMb + right.memoryMb, left.accelerators + right.accelerators};
}

constexpr Resources operator-(const Resources &left, const Resources &right)
{
    return {left.milliCpu - right.milliCpu, left.memoryMb - right.memoryMb, left.accelerators - right.accelerators};
}

constexpr Resources operator*(const Resources &one, int count)
{
    return {one.milliCpu * count, one.memoryMb * count, one.accelerators * count};
}

/// True if `room` has at least as much of every resource as `wanted`.
constexpr bool fitsInto(const Resources &wanted, const Resources &room)
{
    return wanted.milliCpu <= room.milliCpu && wanted.memoryMb <= room.memoryMb && wanted.accelerators <= room.accelerators;
}

}
