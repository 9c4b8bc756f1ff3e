package review;

import java.util.List;
import java.util.Locale;

/** The settings of a small deployment, as BRIEF gives them for the two sites. */
record Site(
        String name,
        List<String> zones,
        List<String> teams,
        double reportS,
        double leaseS,
        double cancelS,
        double rps,
        double writeRps,
        int txnOps,
        double cloudRps,
        double listLagS,
        String quota,
        String next,
        Machines.Type machine) {
    private static final double VALUE_KB = 8;

    /** Teams are name, CPUs guaranteed and CPUs at most. The cloud has so many machines in each zone and no more. */
    static Site dakar(int machinesPerZone) {
        return new Site(
                "dakar-crashdesk",
                List.of("plateau", "yoff"),
                List.of("intake-crew 256 960", "grouping-crew 160 384", "client-desk 160 384"),
                3,
                18,
                48,
                100,
                40,
                12,
                10,
                6,
                "cpu_share = 0.34\nram_mb = 320.0\nsockets = 2500\n",
                "",
                new Machines.Type("baobab-16", 16, 64, 1, List.of("plateau", "yoff"), machinesPerZone));
    }

    static Site pampa(int machinesPerZone) {
        return new Site(
                "pampa-wire",
                List.of("guaiba"),
                List.of(
                        "editorial 96 336",
                        "member-care 120 464",
                        "distribution 64 120",
                        "translation 120 336",
                        "archive-team 56 250",
                        "night-shift 136 400"),
                3,
                16,
                46,
                150,
                60,
                48,
                3,
                10,
                "cpu_share = 0.136\nram_mb = 205.0\nsockets = 1200\n",
                "",
                new Machines.Type("araucaria-16", 16, 128, 1, List.of("guaiba"), machinesPerZone));
    }

    /** The same with limits that the state service will have later, those of the deployments in kit/change. */
    Site withNextLimits() {
        return new Site(
                name,
                zones,
                teams,
                reportS,
                leaseS,
                cancelS,
                rps,
                writeRps,
                txnOps,
                cloudRps,
                listLagS,
                quota,
                "\n[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 16\nwrite_rps = 42.0\n",
                machine);
    }

    Store store() {
        return new Store(rps, writeRps, VALUE_KB, txnOps);
    }

    /** The most CPUs that a team may use. */
    double limit(String team) {
        for (String line : teams) {
            String[] words = line.split(" ");
            if (words[0].equals(team)) {
                return Double.parseDouble(words[2]);
            }
        }
        return 0;
    }

    /** The settings from [cluster] on. */
    String settings() {
        StringBuilder text = new StringBuilder();
        text.append("[cluster]\ncount = 3\nzones = [\"" + String.join("\", \"", zones) + "\"]\ntime_bound_ms = 100.0\n\n");
        for (String line : teams) {
            String[] words = line.split(" ");
            text.append(String.format(
                    "[[cluster.teams]]%nname = \"%s\"%ncpus = %s.0%ncpus_max = %s.0%ngpus = 0.0%ngpus_max = 0.0%n%n",
                    words[0], words[1], words[2]));
        }
        text.append(String.format(
                Locale.ROOT,
                "[[cluster.objectives]]%nkind = \"guarantee\"%nwithin_s = 40.0%nshare = 0.88%n%n"
                        + "[cluster.workers]%nreport_s = %.1f%nlease_s = %.1f%ngang_wait_s = 30.0%ngang_peer_s = 5.0%n"
                        + "cancel_s = %.1f%n%n[cluster.state]%nrps = %.1f%nwrite_rps = %.1f%nvalue_kb = %.1f%n"
                        + "txn_ops = %d%n%n[cluster.cloud]%nrps = %.1f%nlist_lag_s = %.1f%n%n[cluster.quota]%n%s",
                reportS,
                leaseS,
                cancelS,
                rps,
                writeRps,
                VALUE_KB,
                txnOps,
                cloudRps,
                listLagS,
                quota));
        return text.append(next).toString();
    }
}
