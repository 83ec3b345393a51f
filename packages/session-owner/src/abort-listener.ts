/** Runs `work` and calls `onAbort` if the signal is aborted meanwhile; the listener goes with the end of the work. */
export const withAbortListener = async <T>(
  signal: AbortSignal,
  onAbort: () => void,
  work: () => Promise<T>,
): Promise<T> => {
  signal.addEventListener('abort', onAbort, { once: true });
  try {
    return await work();
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
};
