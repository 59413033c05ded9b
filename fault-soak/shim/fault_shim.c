/* A library that is preloaded into a gateway process. It makes system calls fail in documented ways and shifts the wall
 * clock. The faults are read from a control file, which the test rig writes while the process runs.
 *
 * Faults of socket, connect, reads and writes apply to IPv4 sockets only, so that the runtime's own event and signal
 * descriptors keep working. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The contents of the control file, as written by src/shim.rs. The fields after the offset are probabilities in units
 * of 1/65,536. */
struct control {
    int64_t wall_clock_offset_ns;
    uint32_t accept_fails;
    uint32_t connect_fails;
    uint32_t socket_fails;
    uint32_t read_interrupted;
    uint32_t write_interrupted;
    uint32_t read_short;
    uint32_t write_short;
    uint32_t wait_interrupted;
    uint32_t open_fails;
    uint32_t reset_as_timeout;
};

static volatile struct control *control;
static atomic_uint_least64_t random_state = 0x9e3779b97f4a7c15u;

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    if (!path) return;
    int fd = open(path, O_RDWR);
    if (fd < 0) return;
    void *map = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    atomic_store(&random_state, 0x9e3779b97f4a7c15u ^ ((uint64_t)getpid() << 17));
    if (map != MAP_FAILED) control = map;
}

/* SplitMix64 */
static uint32_t next_random(void) {
    uint64_t next = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15u) + 0x9e3779b97f4a7c15u;
    next = (next ^ (next >> 30)) * 0xbf58476d1ce4e5b9u;
    next = (next ^ (next >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((next ^ (next >> 31)) >> 32);
}

static int happens(uint32_t probability) {
    return probability != 0 && (next_random() & 0xffff) < probability;
}

static int is_ipv4_socket(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved_errno = errno;
    int failed = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved_errno;
    return failed == 0 && domain == AF_INET;
}

/* Declares `real`, the function of that name which this library replaces. */
#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* A random one of an array of error numbers. */
#define ONE_OF(errors) (errors)[next_random() % (sizeof(errors) / sizeof(*(errors)))]

static ssize_t replace_reset(ssize_t result) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    if (result < 0 && errno == ECONNRESET && control && happens(control->reset_as_timeout)) errno = ONE_OF(errors);
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR};
    if (control && happens(control->accept_fails)) {
        errno = ONE_OF(errors);
        return -1;
    }
    return real(fd, address, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN};
    if (control && is_ipv4_socket(fd) && happens(control->connect_fails)) {
        errno = ONE_OF(errors);
        return -1;
    }
    return real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    static const int errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
    if (control && domain == AF_INET && happens(control->socket_fails)) {
        errno = ONE_OF(errors);
        return -1;
    }
    return real(domain, type, protocol);
}

/* Fails a read (returns -1 and sets errno), shortens it, or leaves it as it is. */
static int read_fault(int fd, size_t *count) {
    if (!control || !is_ipv4_socket(fd)) return 0;
    if (happens(control->read_interrupted)) {
        errno = EINTR;
        return -1;
    }
    if (*count > 1 && happens(control->read_short)) *count = 1 + next_random() % 7 % *count;
    return 0;
}

/* The same for a write. */
static int write_fault(int fd, size_t *count) {
    if (!control || !is_ipv4_socket(fd)) return 0;
    if (happens(control->write_interrupted)) {
        errno = EINTR;
        return -1;
    }
    if (*count > 1 && happens(control->write_short)) *count = 1 + next_random() % *count;
    return 0;
}

ssize_t recv(int fd, void *bytes, size_t count, int flags) {
    REAL(recv);
    return read_fault(fd, &count) ? -1 : replace_reset(real(fd, bytes, count, flags));
}

ssize_t read(int fd, void *bytes, size_t count) {
    REAL(read);
    return read_fault(fd, &count) ? -1 : replace_reset(real(fd, bytes, count));
}

ssize_t send(int fd, const void *bytes, size_t count, int flags) {
    REAL(send);
    return write_fault(fd, &count) ? -1 : replace_reset(real(fd, bytes, count, flags));
}

ssize_t write(int fd, const void *bytes, size_t count) {
    REAL(write);
    return write_fault(fd, &count) ? -1 : replace_reset(real(fd, bytes, count));
}

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    REAL(writev);
    if (count > 0 && control && is_ipv4_socket(fd)) {
        size_t length = buffers[0].iov_len, allowed = length;
        if (write_fault(fd, &allowed)) return -1;
        if (allowed < length) return replace_reset(write(fd, buffers[0].iov_base, allowed));
    }
    return replace_reset(real(fd, buffers, count));
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    if (control && happens(control->wait_interrupted)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, max_events, timeout);
}

static int open_fault(const char *path) {
    static const int errors[] = {EIO, ENFILE, EMFILE};
    const char *config = strstr(path, "gateway-config");
    if (control && config && happens(control->open_fails)) {
        errno = ONE_OF(errors);
        return -1;
    }
    return 0;
}

int open(const char *path, int flags, ...) {
    REAL(open);
    return open_fault(path) ? -1 : real(path, flags, 0600);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    return open_fault(path) ? -1 : real(path, flags, 0600);
}

static void shift_wall_clock(struct timespec *time) {
    if (!control) return;
    int64_t shifted_ns = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_clock_offset_ns;
    time->tv_sec = shifted_ns / 1000000000;
    time->tv_nsec = shifted_ns % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) shift_wall_clock(time);
    return result;
}
