/** Waits for a condition by asking again; fails loudly when it never holds. */
const STEP_MS = 20;
const LIMIT_MS = 30_000;

export const until = async (
  condition: () => Promise<boolean> | boolean,
  what = "the condition",
): Promise<void> => {
  const end = Date.now() + LIMIT_MS;
  let last: unknown;
  while (Date.now() < end) {
    try {
      if (await condition()) return;
    } catch (err) {
      last = err;
    }
    await new Promise((resolve) => setTimeout(resolve, STEP_MS));
  }
  throw new Error(`${what} never held; last error: ${String(last)}`);
};
