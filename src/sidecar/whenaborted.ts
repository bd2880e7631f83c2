/** Resolves when one of the signals is aborted. */
export function whenAborted(...signals: readonly AbortSignal[]): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of signals) {
      if (signal.aborted) resolve();
      else signal.addEventListener('abort', () => resolve(), { once: true });
    }
  });
}
