import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL: rents machines, boots a worker on each, lists them late. */
final class Cloud {
    /** A machine type with the zones that offer it, and how many ordinary and cheap machines each zone has, in order. */
    record Type(String name, double cores, double memGb, double rate, double spotPrice, double startupS,
            List<String> zones, List<Integer> ordinary, List<Integer> spot) {}

    /** A rented machine. */
    static final class Machine {
        String name;
        Type type;
        String zone;
        boolean spot;
        double rentedAt;
        double upAt = -1;
        Worker worker;
    }

    private record Listed(double at, List<Map<String, Object>> machines) {}

    private final World world;
    private final Fleet fleet;
    private final double rps;
    private final double listLagS;
    private final double bootS;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    private final List<Listed> lists = new ArrayList<>();
    private int lastMachine;
    private double permits;
    private double refilledAt;

    /** {@code bootS}: all machines are up after this time. */
    Cloud(World world, Fleet fleet, double rps, double listLagS, double bootS, List<Type> offered) {
        this.world = world;
        this.fleet = fleet;
        this.rps = rps;
        this.listLagS = listLagS;
        this.bootS = bootS;
        permits = 2 * rps;
        offered.forEach(type -> types.put(type.name(), type));
        snapshot();
    }

    private synchronized void snapshot() {
        List<Map<String, Object>> machinesNow = new ArrayList<>();
        for (Machine machine : machines.values()) {
            String status = machine.upAt < 0 ? "starting" : "running";
            machinesNow.add(Json.of(
                    "uid", machine.name,
                    "addr", machine.worker == null ? "127.0.0.1:1" : machine.worker.address(),
                    "build", machine.type.name(),
                    "yard", machine.zone,
                    "standby", machine.spot,
                    "status", status,
                    "heldS", world.now() - machine.rentedAt));
        }
        lists.add(new Listed(world.now(), machinesNow));
        if (lists.size() > 400) {
            lists.remove(0);
        }
        world.after(0.25, this::snapshot);
    }

    synchronized Wire.Reply handle(Wire.Request request) {
        double now = world.now();
        permits = Math.min(2 * rps, permits + (now - refilledAt) * rps);
        refilledAt = now;
        if (permits < 1) {
            return Wire.reply(429, Json.of("error", "too many requests"));
        }
        permits -= 1;
        if (request.path().equals("/machine_types")) {
            return Wire.reply(200, machineTypes());
        } else if (request.path().equals("/rentals/delete")) {
            return delete(Json.object(request.body()));
        } else if (request.method().equals("POST")) {
            return rent(Json.object(request.body()));
        }
        return list(request.query());
    }

    private Object machineTypes() {
        List<Object> builds = new ArrayList<>();
        for (Type type : types.values()) {
            builds.add(Json.of(
                    "name", type.name(),
                    "cores", type.cores(),
                    "accelerators", 0.0,
                    "memGb", type.memGb(),
                    "cacheGb", 60.0,
                    "pullGbPerS", 1.0,
                    "rate", type.rate(),
                    "spotPrice", type.spotPrice(),
                    "startupS", type.startupS(),
                    "yards", type.zones()));
        }
        return Json.of("builds", builds);
    }

    private Wire.Reply rent(Map<String, Object> request) {
        String hire = (String) request.get("hire");
        List<String> granted = hires.get(hire);
        if (granted == null) {
            Type type = types.get((String) request.get("build"));
            String zone = (String) request.get("yard");
            boolean spot = (Boolean) request.get("standby");
            long count = Math.min(50, Json.number(request.get("count")));
            granted = new ArrayList<>();
            int capacity = (spot ? type.spot() : type.ordinary()).get(type.zones().indexOf(zone));
            while (granted.size() < count && inUse(type, zone, spot) < capacity) {
                granted.add(add(type, zone, spot).name);
            }
            world.record("cloud rents hire=" + hire + " build=" + type.name() + " yard=" + zone + " standby=" + spot
                    + " count=" + count + " granted=" + granted);
            if (granted.isEmpty()) {
                return Wire.reply(503, Json.of("error", "no capacity"));
            }
            hires.put(hire, granted);
        }
        return Wire.reply(200, Json.of("spoolers", granted));
    }

    private long inUse(Type type, String zone, boolean spot) {
        return machines.values().stream()
                .filter(machine -> machine.type == type && machine.zone.equals(zone) && machine.spot == spot)
                .count();
    }

    private Machine add(Type type, String zone, boolean spot) {
        Machine machine = new Machine();
        machine.name = String.format("m-%06d", ++lastMachine);
        machine.type = type;
        machine.zone = zone;
        machine.spot = spot;
        machine.rentedAt = world.now();
        machines.put(machine.name, machine);
        world.after(bootS, () -> boot(machine));
        return machine;
    }

    private synchronized void boot(Machine machine) {
        if (machines.get(machine.name) == machine) {
            machine.upAt = world.now();
            machine.worker = fleet.boot(machine);
        }
    }

    private Wire.Reply delete(Map<String, Object> request) {
        world.record("cloud deletes " + request.get("spoolers"));
        for (Object name : Json.list(request.get("spoolers"))) {
            Machine machine = machines.remove((String) name);
            if (machine != null && machine.worker != null) {
                machine.worker.end("deleted");
            }
        }
        return Wire.reply(200, Json.of());
    }

    private Wire.Reply list(String query) {
        String after = "";
        int most = 500;
        for (String field : query.split("&")) {
            if (field.startsWith("after=")) {
                after = field.substring(6);
            } else if (field.startsWith("most=")) {
                most = Integer.parseInt(field.substring(5));
            }
        }
        List<Map<String, Object>> listed = List.of();
        for (Listed list : lists) {
            if (list.at() <= world.now() - listLagS) {
                listed = list.machines();
            }
        }
        List<Object> page = new ArrayList<>();
        boolean hasNext = false;
        for (Map<String, Object> machine : listed) {
            if (((String) machine.get("uid")).compareTo(after) <= 0) {
                continue;
            }
            if (page.size() == most) {
                hasNext = true;
                break;
            }
            page.add(machine);
        }
        return Wire.reply(200, Json.of("spoolers", page, "hasNext", hasNext));
    }
}
