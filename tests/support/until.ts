/** Polls a condition until it holds, and throws after 30 s with the last error. */
const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 30_000;

export const until = async (
  condition: () => Promise<boolean> | boolean,
  description = "the condition",
): Promise<void> => {
  const deadline = Date.now() + TIMEOUT_MS;
  let lastError: unknown;
  while (Date.now() < deadline) {
    try {
      if (await condition()) return;
    } catch (err) {
      lastError = err;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(
    `${description} never held; last error: ${String(lastError)}`,
  );
};
