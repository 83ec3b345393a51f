/** Runs `work` and calls `onAbort` if the signal aborts before it settles; the listener is removed afterwards. */
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
