/**
 * Runs trials of barred requests. Only one trial of a request runs at a time in
 * the fleet; it is claimed in the store before anything is sent.
 */
import type { QuarantineRecord, Quarantine } from "../quarantine/index.js";
import type { Log } from "../telemetry/index.js";
import type { CallerRequest } from "./callerRequest.js";
import type { QuarantineStore } from "./quarantineStore.js";

/** Attempts to claim a trial that may conflict with other writers. */
const MAX_CONFLICTS = 4;
/** A model request may be prefilled on one replica and run on another. */
const ENGINE_TRIAL_SENDS = 2;

/** Maximum sends to replicas that a trial of the request may take. */
export const maxTrialSends = (caller: CallerRequest): number =>
  caller.head.prompt === undefined ? 1 : ENGINE_TRIAL_SENDS;

interface TrialRun {
  trial: QuarantineRecord;
  /** Sends reserved for it in the store. */
  reserved: number;
  hasSurvived: boolean;
}

export class QuarantineTrials {
  private readonly runs = new Map<CallerRequest, TrialRun>();
  /** Digests with a claim in progress. */
  private readonly claiming = new Set<string>();

  constructor(
    private readonly quarantine: Quarantine,
    private readonly store: QuarantineStore,
    private readonly log: Log,
  ) {}

  /**
   * Claims the trial of the request; whether it may run. A lost response of the
   * store counts as no: the trial may then be claimed although nobody runs it.
   */
  async claim(caller: CallerRequest): Promise<boolean> {
    const { digest } = caller;
    if (this.claiming.has(digest)) return false;
    this.claiming.add(digest);
    try {
      return await this.claimInStore(caller);
    } finally {
      this.claiming.delete(digest);
    }
  }

  /** Records that a run of the request completed and its replica survived. */
  recordSurvival(caller: CallerRequest): void {
    const run = this.runs.get(caller);
    if (run !== undefined) run.hasSurvived = true;
  }

  /** Called when a request has ended; whether it was a trial. */
  endTrial(caller: CallerRequest): boolean {
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

  private async claimInStore(caller: CallerRequest): Promise<boolean> {
    const { digest } = caller;
    const reserved = maxTrialSends(caller);
    for (let round = 0; round < MAX_CONFLICTS; round += 1) {
      const verdict = this.quarantine.verdict(digest, reserved);
      if (verdict.kind !== "may-try") return false;
      const trial = this.quarantine.startTrial(verdict.record, reserved);
      const outcome = await this.store.writeRecords(this.recordsWith(trial));
      if (outcome === "failed") return false;
      if (outcome === "conflict") continue;
      this.runs.set(caller, { trial, reserved, hasSurvived: false });
      caller.isTrial = true;
      return true;
    }
    return false;
  }

  private recordsWith(trial: QuarantineRecord): QuarantineRecord[] {
    const others = this.quarantine
      .allRecords()
      .filter(({ digest }) => digest !== trial.digest);
    return [...others, trial];
  }
}
