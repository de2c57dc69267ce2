/** Graceful shutdown on SIGTERM or SIGINT. */
import { abortOpenExchanges } from "../http/index.js";
import { errText } from "../shared/utils.js";
import type { Daemon } from "./types.js";

const EXIT_STOP_FAILED = 1;
/** Delay before exit so that the last log lines are written, ms. */
const LOG_FLUSH_MS = 100;

/** Stops the daemon at the first signal; further signals are ignored. */
export const runUntilStopped = (daemon: Daemon): void => {
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    daemon.stop().then(
      () => setTimeout(() => process.exit(0), LOG_FLUSH_MS),
      (err) => {
        process.stderr.write(`snowgated: ${errText(err)}\n`);
        process.exit(EXIT_STOP_FAILED);
      },
    );
  };
  process.once("exit", abortOpenExchanges);
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
};
