/** Derives what callers may hold of a process from what its VM has for it. */

const BYTES_PER_MB = 1024 * 1024;
/** What the program itself takes, with headroom for the garbage collector, MB. */
const PROGRAM_MB = 140;
/** Of the rest of the memory: for callers, and for answers that are not whole. */
const CALLER_FRACTION = 0.22;
const REPLY_FRACTION = 0.15;
/** Of the rest, what may wait for the garbage collector. */
const RELEASED_FRACTION = 0.08;
const MIN_RELEASED_MB = 8;
/** Least bounds, MB: some bodies and answers of the largest usual size. */
const MIN_CALLER_MB = 14;
const MIN_REPLY_MB = 12;
const MAX_REPLY_MB = 64;
/** Descriptors that a process needs for files, and for its own connections. */
const FILE_DESCRIPTORS = 200;
const CALLER_DESCRIPTOR_FRACTION = 0.75;
/** What a connection without a request takes, bytes. */
const CONNECTION_BYTES = 16 * 1024;
/** Of the memory for callers, what connections without a request may take. */
const CONNECTION_MEMORY_FRACTION = 0.5;
const DEFAULT_MEMORY_MB = 512;
const DEFAULT_MAX_FDS = 4096;

/** What the VM has for the process. */
export interface ProcessLimits {
  memoryMb?: number;
  maxFds?: number;
}

export interface CallerLimits {
  /** What callers may hold of the memory, all together, bytes. */
  maxHeldBytes: number;
  /** What answers of upstreams may take until they are whole, bytes. */
  maxReplyBytes: number;
  /** What may wait for the garbage collector, bytes. */
  maxReleasedBytes: number;
  maxConnections: number;
}

export const callerLimits = ({
  memoryMb = DEFAULT_MEMORY_MB,
  maxFds = DEFAULT_MAX_FDS,
}: ProcessLimits): CallerLimits => {
  const spareMb = Math.max(0, memoryMb - PROGRAM_MB);
  const callerMb = Math.max(MIN_CALLER_MB, spareMb * CALLER_FRACTION);
  const replyMb = Math.max(MIN_REPLY_MB, spareMb * REPLY_FRACTION);
  const maxHeldBytes = callerMb * BYTES_PER_MB;
  const byDescriptors =
    (maxFds - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_FRACTION;
  const byMemory =
    (spareMb * BYTES_PER_MB * CONNECTION_MEMORY_FRACTION) / CONNECTION_BYTES;
  return {
    maxHeldBytes,
    maxReplyBytes: Math.min(MAX_REPLY_MB, replyMb) * BYTES_PER_MB,
    maxReleasedBytes:
      Math.max(MIN_RELEASED_MB, spareMb * RELEASED_FRACTION) * BYTES_PER_MB,
    maxConnections: Math.floor(Math.min(byDescriptors, byMemory)),
  };
};
