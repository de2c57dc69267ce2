/**
 * Trials of barred requests that this process runs: one at a time in the
 * fleet, agreed in the store before anything is sent.
 */
import type { QuarantineRecord, Quarantine } from "../quarantine/index.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { QuarantineStore } from "./quarantineStore.js";

/** Writes in a row that may meet other writers. */
const MAX_CONFLICTS = 4;
/** A model request may be read at one replica and run at another. */
const ENGINE_TRIAL_SENDS = 2;

/** Sends to replicas that a trial of a request may take. */
export const trialSends = (caller: CallerRequest): number =>
  caller.head.prompt === undefined ? 1 : ENGINE_TRIAL_SENDS;

interface TrialRun {
  trial: QuarantineRecord;
  /** Sends that it was given. */
  reserved: number;
  hasSurvived: boolean;
}

export class QuarantineTrials {
  private readonly runs = new Map<CallerRequest, TrialRun>();
  /** Digests whose trial is being asked for. */
  private readonly claiming = new Set<string>();

  constructor(
    private readonly quarantine: Quarantine,
    private readonly store: QuarantineStore,
    private readonly log: Log,
  ) {}

  /**
   * Whether the request may run as a trial. An answer of the store that was
   * lost counts as no: the trial may be taken, and nobody runs it.
   */
  async claim(caller: CallerRequest): Promise<boolean> {
    const { digest } = caller;
    if (this.claiming.has(digest)) return false;
    this.claiming.add(digest);
    try {
      return await this.ask(caller);
    } finally {
      this.claiming.delete(digest);
    }
  }

  /** A run of the request ended, and its replica lived on. */
  noteSurvived(caller: CallerRequest): void {
    const run = this.runs.get(caller);
    if (run !== undefined) run.hasSurvived = true;
  }

  /** A request is over; whether it was a trial. */
  settle(caller: CallerRequest): boolean {
    const run = this.runs.get(caller);
    if (run === undefined) return false;
    this.runs.delete(caller);
    const { trial, reserved, hasSurvived } = run;
    const outcome = { sends: caller.sentTo.length, hasSurvived };
    const next = this.quarantine.finishTrial(trial, reserved, outcome);
    this.quarantine.applyRecords([next]);
    this.log.info("quarantine trial ended", {
      requestId: caller.head.id,
      digest: trial.digest,
      sentTo: caller.sentTo.join(","),
      hasSurvived,
    });
    return true;
  }

  private async ask(caller: CallerRequest): Promise<boolean> {
    const { digest } = caller;
    const reserved = trialSends(caller);
    for (let round = 0; round < MAX_CONFLICTS; round += 1) {
      const verdict = this.quarantine.verdict(digest, reserved);
      if (verdict.kind !== "may-try") return false;
      const trial = this.quarantine.startTrial(verdict.record, reserved);
      const outcome = await this.store.writeBars(this.barsWith(trial));
      if (outcome === "failed") return false;
      if (outcome === "conflict") continue;
      this.runs.set(caller, { trial, reserved, hasSurvived: false });
      caller.isTrial = true;
      return true;
    }
    return false;
  }

  private barsWith(trial: QuarantineRecord): QuarantineRecord[] {
    const others = this.quarantine
      .allRecords()
      .filter(({ digest }) => digest !== trial.digest);
    return [...others, trial];
  }
}
