/**
 * Tracks whether the side accepts new requests, and its engine's role. Several
 * reasons can close the side at once; it is open when none is left.
 */
import type { Role } from "../config/index.js";
import type { SideState } from "../routing/index.js";

export const GATE_REASONS = ["leaving", "draining", "busy"] as const;

/** A reason to refuse new requests; the first that applies is the state. */
export type GateReason = (typeof GATE_REASONS)[number];

type Listener = () => void;

export class SideGate {
  private readonly reasons = new Set<GateReason>();
  private readonly listeners: Listener[] = [];
  private idleListeners: Listener[] = [];
  private currentRole: Role = "mixed";
  private readonly roleListeners: Listener[] = [];

  constructor(private readonly inFlight: () => number) {}

  get state(): SideState {
    return GATE_REASONS.find((reason) => this.reasons.has(reason)) ?? "open";
  }

  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  get role(): Role {
    return this.currentRole;
  }

  /** Sets the role that the engine reports. */
  setRole(role: Role): void {
    if (role === this.currentRole) return;
    this.currentRole = role;
    for (const listener of this.roleListeners) listener();
  }

  onRoleChange(listener: Listener): void {
    this.roleListeners.push(listener);
  }

  close(reason: GateReason): void {
    if (this.reasons.has(reason)) return;
    this.reasons.add(reason);
    this.notify();
  }

  open(reason: GateReason): void {
    if (!this.reasons.delete(reason)) return;
    this.notify();
  }

  /** Resolves when no request is in flight. */
  whenIdle(): Promise<void> {
    if (this.inFlight() === 0) return Promise.resolve();
    return new Promise((resolve) => this.idleListeners.push(resolve));
  }

  /** Called when a request ended; resolves `whenIdle` if it was the last. */
  onRequestEnded(): void {
    if (this.inFlight() > 0) return;
    const waiters = this.idleListeners;
    this.idleListeners = [];
    for (const resolve of waiters) resolve();
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
