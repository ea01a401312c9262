#pragma once

/// Umbrella header of the decisions package: the policy under load, without sockets or a clock of its own.
#include "decisions/AdapterSlots.h"
#include "decisions/Demand.h"
#include "decisions/Fleet.h"
#include "decisions/LoadPace.h"
#include "decisions/LoadQueue.h"
#include "decisions/Placer.h"
#include "decisions/PollSchedule.h"
#include "decisions/Rendezvous.h"
#include "decisions/ReportGate.h"
#include "decisions/RequestQueue.h"
#include "decisions/RetryBudget.h"
#include "decisions/TargetView.h"
