/** List of all commands; new commands are added here. */
import { actionCutover } from "./actionCutover.js";
import { actionDrain } from "./actionDrain.js";
import { actionExplain } from "./actionExplain.js";
import { actionLoad } from "./actionLoad.js";
import { actionRole } from "./actionRole.js";
import { actionShow } from "./actionShow.js";
import { actionUndrain } from "./actionUndrain.js";
import { actionUnload } from "./actionUnload.js";
import type { Action } from "../types.js";

export const ACTIONS: readonly Action[] = [
  actionShow,
  actionExplain,
  actionDrain,
  actionUndrain,
  actionRole,
  actionLoad,
  actionUnload,
  actionCutover,
];
