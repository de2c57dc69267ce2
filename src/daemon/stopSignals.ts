/** Planned stop of a daemon by signal. */
import { errText } from "../shared/utils.js";
import type { Daemon } from "./types.js";

const EXIT_STOP_FAILED = 1;
/** Time for the last log lines to be written, ms. */
const LOG_FLUSH_MS = 100;

/** A second signal while stopping changes nothing: the stop goes on. */
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
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
};
