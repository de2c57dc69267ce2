/**
 * Runs trials of what is barred: a request, or parts of its prompt. Only one
 * trial of each runs at a time in the fleet; it is claimed in the store before
 * anything is sent.
 */
import { isPartKey } from "../quarantine/index.js";
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

/** Sends that a trial reserves; trials of a part are counted themselves. */
const reservedSends = (caller: CallerRequest, key: string): number =>
  isPartKey(key) ? 1 : maxTrialSends(caller);

/** A trial, and the sends that it reserves. */
interface Claim {
  trial: QuarantineRecord;
  reserved: number;
}

interface TrialRun {
  /** Records of what is tried. */
  trials: readonly QuarantineRecord[];
  hasSurvived: boolean;
}

export class QuarantineTrials {
  private readonly runs = new Map<CallerRequest, TrialRun>();
  /** Digests and part keys with a claim in progress. */
  private readonly claiming = new Set<string>();
  /** Claims whose write got no answer, by digest or part key. */
  private readonly unanswered = new Map<string, Claim>();

  constructor(
    private readonly quarantine: Quarantine,
    private readonly store: QuarantineStore,
    private readonly log: Log,
  ) {}

  /**
   * Claims the trial of a request that is, or has, these suspects; whether it
   * may run. A lost response of the store counts as no; `releaseUnanswered`
   * gives the trial back if it was claimed.
   */
  async claim(
    caller: CallerRequest,
    keys: readonly string[],
  ): Promise<boolean> {
    if (keys.some((key) => this.claiming.has(key))) return false;
    for (const key of keys) this.claiming.add(key);
    try {
      return await this.claimInStore(caller, keys);
    } finally {
      for (const key of keys) this.claiming.delete(key);
    }
  }

  /**
   * Gives back the trials that the store shows as claimed by this process
   * although it did not run them.
   */
  releaseUnanswered(): void {
    const { quarantine } = this;
    for (const [digest, { trial, reserved }] of this.unanswered) {
      const record = quarantine.activeRecord(digest);
      if (record === undefined || record.step < trial.step) continue;
      this.unanswered.delete(digest);
      if (record.step !== trial.step || record.by !== trial.by) continue;
      const nothing = { sends: 0, hasSurvived: false };
      const next = quarantine.finishTrial(trial, reserved, nothing);
      quarantine.applyRecords([next]);
      this.log.info("unanswered quarantine trial released", { digest });
    }
  }

  /** Records that a run of the request completed and its replica survived. */
  recordSurvival(caller: CallerRequest, isGood: boolean): void {
    const run = this.runs.get(caller);
    if (run === undefined) return;
    const hasPart = run.trials.some(({ digest }) => isPartKey(digest));
    if (isGood || !hasPart) run.hasSurvived = true;
  }

  /** Called when a request has ended; whether it was a trial. */
  endTrial(caller: CallerRequest): boolean {
    const run = this.runs.get(caller);
    if (run === undefined) return false;
    this.runs.delete(caller);
    const { trials, hasSurvived } = run;
    for (const trial of trials) {
      const reserved = reservedSends(caller, trial.digest);
      const sends = Math.min(caller.possibleRuns, reserved);
      const outcome = { sends, hasSurvived };
      const next = this.quarantine.finishTrial(trial, reserved, outcome);
      this.quarantine.applyRecords([next]);
    }
    this.log.info("quarantine trial ended", {
      requestId: caller.head.id,
      digest: trials.map(({ digest }) => digest).join(","),
      sentTo: caller.sentTo.join(","),
      hasSurvived,
    });
    return true;
  }

  private async claimInStore(
    caller: CallerRequest,
    keys: readonly string[],
  ): Promise<boolean> {
    const { quarantine } = this;
    for (let round = 0; round < MAX_CONFLICTS; round += 1) {
      const verdict = quarantine.requestVerdict(keys, maxTrialSends(caller));
      if (verdict.kind !== "may-try") return false;
      const trials = verdict.records.map((record) =>
        quarantine.startTrial(record, reservedSends(caller, record.digest)),
      );
      const outcome = await this.store.writeRecords(this.recordsWith(trials));
      if (outcome === "conflict") continue;
      for (const trial of trials) {
        const { digest } = trial;
        const reserved = reservedSends(caller, digest);
        if (outcome === "written") this.unanswered.delete(digest);
        else this.unanswered.set(digest, { trial, reserved });
      }
      if (outcome === "failed") {
        // The watch may have brought the claim before the call was given up.
        this.releaseUnanswered();
        return false;
      }
      this.runs.set(caller, { trials, hasSurvived: false });
      caller.isTrial = true;
      return true;
    }
    return false;
  }

  private recordsWith(trials: readonly QuarantineRecord[]): QuarantineRecord[] {
    const tried = new Set(trials.map(({ digest }) => digest));
    const others = this.quarantine
      .allRecords()
      .filter(({ digest }) => !tried.has(digest));
    return [...others, ...trials];
  }
}
